#include "src/config/source_node.h"

#include <json/reader.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>

namespace acaciaspring::config {

namespace {

[[noreturn]] void ThrowConfigError(const std::string& file,
                                   std::size_t line,
                                   DiagnosticCode code,
                                   std::string detail) {
  throw ConfigError({Diagnostic{file, line, "", code, std::move(detail)}});
}

/// Maps byte offsets of a text to line numbers, which count from 1.
class LineIndex {
 public:
  explicit LineIndex(std::string_view text) {
    for (std::size_t offset = 0; offset < text.size(); ++offset) {
      if (text[offset] == '\n') {
        newline_offsets_.push_back(offset);
      }
    }
  }
  std::size_t LineAt(std::ptrdiff_t offset) const {
    const auto position = static_cast<std::size_t>(std::max<std::ptrdiff_t>(offset, 0));
    const auto end = std::lower_bound(newline_offsets_.begin(), newline_offsets_.end(), position);
    return static_cast<std::size_t>(end - newline_offsets_.begin()) + 1;
  }

 private:
  std::vector<std::size_t> newline_offsets_;
};

SourceNode Convert(const Json::Value& value,
                   const LineIndex& lines,
                   const std::shared_ptr<const std::string>& file) {
  SourceNode node;
  node.file = file;
  node.line = lines.LineAt(value.getOffsetStart());
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

/// Returns the first line where the nesting exceeds kMaxNestingDepth, or 0 if there is none. Skips
/// strings and comments. JsonCpp has its own limit, but reports it like a syntax error.
std::size_t FindLineExceedingMaxDepth(std::string_view text) {
  std::size_t depth = 0;
  std::size_t line = 1;
  for (std::size_t offset = 0; offset < text.size(); ++offset) {
    const char byte = text[offset];
    if (byte == '"') {
      for (++offset; offset < text.size() && text[offset] != '"'; ++offset) {
        line += text[offset] == '\n' ? 1 : 0;
        offset += text[offset] == '\\' ? 1 : 0;
      }
    } else if (text.substr(offset, 2) == "//") {
      offset = std::min(text.find('\n', offset), text.size());
    } else if (text.substr(offset, 2) == "/*") {
      const std::size_t end = std::min(text.find("*/", offset + 2), text.size());
      line += static_cast<std::size_t>(
          std::count(text.begin() + static_cast<std::ptrdiff_t>(offset),
                     text.begin() + static_cast<std::ptrdiff_t>(end), '\n'));
      offset = end;
    } else if (byte == '{' || byte == '[') {
      if (++depth > kMaxNestingDepth) {
        return line;
      }
    } else if ((byte == '}' || byte == ']') && depth > 0) {
      --depth;
    }
    if (offset < text.size() && text[offset] == '\n') {
      ++line;
    }
  }
  return 0;
}

/// Returns the first error of JsonCpp's report, which has "* Line 3, Column 5\n  text\n" for each
/// error. Later errors only result from the parser's attempt to recover from the first.
Diagnostic FirstSyntaxError(const std::string& report, const std::string& file) {
  constexpr std::string_view kLocationPrefix = "* Line ";
  Diagnostic diagnostic{file, 0, "", DiagnosticCode::kSyntax, report};
  const std::size_t location = report.find(kLocationPrefix);
  const std::size_t message = report.find("\n  ", location);
  if (location == std::string::npos || message == std::string::npos) {
    return diagnostic;
  }
  const char* number = report.data() + location + kLocationPrefix.size();
  std::from_chars(number, report.data() + report.size(), diagnostic.line);
  const std::size_t end = report.find('\n', message + 1);
  diagnostic.detail = report.substr(message + 3, end - message - 3);
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
  builder["stackLimit"] = static_cast<Json::UInt>(2 * kMaxNestingDepth);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string report;
  bool parsed = false;
  try {
    parsed = reader->parse(text.data(), text.data() + text.size(), &root, &report);
  } catch (const Json::Exception& error) {
    ThrowConfigError(file_name, 0, DiagnosticCode::kSyntax, error.what());
  }
  if (!parsed) {
    throw ConfigError({FirstSyntaxError(report, file_name)});
  }
  return root;
}

}  // namespace

SourceNode ParseSourceNode(std::string_view text, const std::string& file_name) {
  if (text.size() > kMaxConfigBytes) {
    ThrowConfigError(
        file_name, 0, DiagnosticCode::kTooLarge,
        std::to_string(text.size()) + " bytes; the limit is " + std::to_string(kMaxConfigBytes));
  }
  if (const std::size_t line = FindLineExceedingMaxDepth(text); line != 0) {
    ThrowConfigError(file_name, line, DiagnosticCode::kTooDeep,
                     "more than " + std::to_string(kMaxNestingDepth) + " levels of nesting");
  }
  const Json::Value root = ParseJson(text, file_name);
  SourceNode node = Convert(root, LineIndex(text), std::make_shared<const std::string>(file_name));
  if (!root.isObject()) {
    ThrowConfigError(file_name, node.line, DiagnosticCode::kWrongType, "must be an object");
  }
  return node;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text;
  constexpr std::size_t kReadLimit = kMaxConfigBytes + 1;
  if (file) {
    text.resize(kReadLimit);
    file.read(text.data(), static_cast<std::streamsize>(kReadLimit));
    text.resize(static_cast<std::size_t>(file.gcount()));
  }
  if (!file.is_open() || file.bad()) {
    ThrowConfigError(path, 0, DiagnosticCode::kUnreadable, "cannot be read");
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
