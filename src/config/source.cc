#include "src/config/source.h"

#include <json/reader.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>

namespace acaciaspring::config {

namespace {

[[noreturn]] void Fail(const std::string& file,
                       std::size_t line,
                       DiagnosticCode code,
                       std::string detail) {
  throw ConfigError({Diagnostic{file, line, "", code, std::move(detail)}});
}

/// Line numbers of byte offsets.
class LineIndex {
 public:
  explicit LineIndex(std::string_view text) {
    for (std::size_t offset = 0; offset < text.size(); ++offset) {
      if (text[offset] == '\n') {
        ends_.push_back(offset);
      }
    }
  }
  std::size_t LineOf(std::ptrdiff_t offset) const {
    const auto position = static_cast<std::size_t>(std::max<std::ptrdiff_t>(offset, 0));
    const auto end = std::lower_bound(ends_.begin(), ends_.end(), position);
    return static_cast<std::size_t>(end - ends_.begin()) + 1;
  }

 private:
  std::vector<std::size_t> ends_;
};

SourceNode Convert(const Json::Value& value,
                   const LineIndex& lines,
                   const std::shared_ptr<const std::string>& file) {
  SourceNode node;
  node.file = file;
  node.line = lines.LineOf(value.getOffsetStart());
  if (value.isObject()) {
    node.value = Json::Value(Json::objectValue);
    for (auto member = value.begin(); member != value.end(); ++member) {
      node.members.emplace(member.name(), Convert(*member, lines, file));
    }
  } else if (value.isArray()) {
    node.value = Json::Value(Json::arrayValue);
    for (const Json::Value& item : value) {
      node.items.push_back(Convert(item, lines, file));
    }
  } else {
    node.value = value;
  }
  return node;
}

/// Nesting outside strings and comments. JsonCpp's own limit cannot be told apart from a syntax
/// error.
std::size_t LineBeyondDepth(std::string_view text) {
  std::size_t depth = 0;
  std::size_t line = 1;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char byte = text[at];
    if (byte == '"') {
      for (++at; at < text.size() && text[at] != '"'; ++at) {
        line += text[at] == '\n' ? 1 : 0;
        at += text[at] == '\\' ? 1 : 0;
      }
    } else if (text.substr(at, 2) == "//") {
      at = std::min(text.find('\n', at), text.size());
    } else if (text.substr(at, 2) == "/*") {
      const std::size_t end = std::min(text.find("*/", at + 2), text.size());
      line += static_cast<std::size_t>(std::count(text.begin() + static_cast<std::ptrdiff_t>(at),
                                                  text.begin() + static_cast<std::ptrdiff_t>(end),
                                                  '\n'));
      at = end;
    } else if (byte == '{' || byte == '[') {
      if (++depth > kMaxDepth) {
        return line;
      }
    } else if ((byte == '}' || byte == ']') && depth > 0) {
      --depth;
    }
    if (at < text.size() && text[at] == '\n') {
      ++line;
    }
  }
  return 0;
}

/// The first fault of JsonCpp's report ("* Line 3, Column 5\n  text\n" for each). The others arise
/// from its attempt to go on after the first.
Diagnostic FirstFault(const std::string& report, const std::string& file) {
  constexpr std::string_view kPlace = "* Line ";
  Diagnostic diagnostic{file, 0, "", DiagnosticCode::kSyntax, report};
  const std::size_t place = report.find(kPlace);
  const std::size_t text = report.find("\n  ", place);
  if (place == std::string::npos || text == std::string::npos) {
    return diagnostic;
  }
  const char* number = report.data() + place + kPlace.size();
  std::from_chars(number, report.data() + report.size(), diagnostic.line);
  const std::size_t end = report.find('\n', text + 1);
  diagnostic.detail = report.substr(text + 3, end - text - 3);
  if (diagnostic.detail.starts_with("Duplicate key")) {
    diagnostic.code = DiagnosticCode::kDuplicateKey;
  }
  return diagnostic;
}

Json::Value ParseJson(std::string_view text, const std::string& file_name) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["allowComments"] = true;
  builder["collectComments"] = false;
  builder["stackLimit"] = static_cast<Json::UInt>(2 * kMaxDepth);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string report;
  bool parsed = false;
  try {
    parsed = reader->parse(text.data(), text.data() + text.size(), &root, &report);
  } catch (const Json::Exception& error) {
    Fail(file_name, 0, DiagnosticCode::kSyntax, error.what());
  }
  if (!parsed) {
    throw ConfigError({FirstFault(report, file_name)});
  }
  return root;
}

}  // namespace

SourceNode ParseSource(std::string_view text, const std::string& file_name) {
  if (text.size() > kMaxTextBytes) {
    Fail(file_name, 0, DiagnosticCode::kTooLarge,
         std::to_string(text.size()) + " bytes; the limit is " + std::to_string(kMaxTextBytes));
  }
  if (const std::size_t line = LineBeyondDepth(text); line != 0) {
    Fail(file_name, line, DiagnosticCode::kTooDeep,
         "more than " + std::to_string(kMaxDepth) + " levels");
  }
  const Json::Value root = ParseJson(text, file_name);
  SourceNode node = Convert(root, LineIndex(text), std::make_shared<const std::string>(file_name));
  if (!root.isObject()) {
    Fail(file_name, node.line, DiagnosticCode::kWrongType, "must be an object");
  }
  return node;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text;
  constexpr std::size_t kLimit = kMaxTextBytes + 1;
  if (file) {
    text.resize(kLimit);
    file.read(text.data(), static_cast<std::streamsize>(kLimit));
    text.resize(static_cast<std::size_t>(file.gcount()));
  }
  if (!file.is_open() || file.bad()) {
    Fail(path, 0, DiagnosticCode::kUnreadable, "cannot be read");
  }
  return text;
}

void MergePatch(SourceNode& target, const SourceNode& patch) {
  if (!patch.value.isObject()) {
    target = patch;
    return;
  }
  if (!target.value.isObject()) {
    target = SourceNode();
    target.value = Json::Value(Json::objectValue);
  }
  if (target.file == nullptr) {
    target.file = patch.file;
    target.line = patch.line;
  }
  for (const auto& [key, value] : patch.members) {
    if (value.value.isNull()) {
      target.members.erase(key);
    } else {
      MergePatch(target.members[key], value);
    }
  }
}

}  // namespace acaciaspring::config
