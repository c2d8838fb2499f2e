#include "src/config/object_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace acaciaspring::config {

namespace {

constexpr std::size_t kMaxIdentifierBytes = 128;
constexpr std::size_t kLeastKeyBytes = 16;
constexpr std::size_t kMostKeyBytes = 256;

/// Reads a decimal number of at most `most` without leading zeros and removes it from the text.
std::optional<unsigned> TakeNumber(std::string_view& text, unsigned most) {
  unsigned value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const auto length = static_cast<std::size_t>(end - text.data());
  if (error != std::errc() || value > most || (length > 1 && text.front() == '0')) {
    return std::nullopt;
  }
  text.remove_prefix(length);
  return value;
}

std::string Range(const std::string& least, const std::string& most) {
  return "must be from " + least + " to " + most;
}

std::string Shortest(double number) {
  std::array<char, 32> text{};
  const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() ? std::string(text.data(), end) : "?";
}

bool IsVisible(char byte) {
  return byte > ' ' && byte < 127;
}

}  // namespace

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  SocketAddress address{std::string(text.substr(0, colon)), 0};
  for (const char separator : {'.', '.', '.', ':'}) {
    if (!TakeNumber(text, 255) || text.empty() || text.front() != separator) {
      return std::nullopt;
    }
    text.remove_prefix(1);
  }
  const auto port = TakeNumber(text, 65535);
  if (!port || *port == 0 || !text.empty()) {
    return std::nullopt;
  }
  address.port = static_cast<std::uint16_t>(*port);
  return address;
}

bool IsIdentifier(std::string_view text) {
  constexpr std::string_view kAllowed =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._:/-";
  return !text.empty() && text.size() <= kMaxIdentifierBytes &&
         text.find_first_not_of(kAllowed) == std::string_view::npos;
}

ObjectReader::ObjectReader(const SourceNode* node,
                           std::string path,
                           std::vector<Diagnostic>& diagnostics)
    : node_(node), path_(std::move(path)), diagnostics_(diagnostics) {
  if (node_ != nullptr && !node_->value.isObject()) {
    Add(node_, path_, DiagnosticCode::kWrongType, "must be an object");
    node_ = nullptr;
  }
}

void ObjectReader::Add(const SourceNode* node,
                       const std::string& path,
                       DiagnosticCode code,
                       std::string detail) {
  const bool placed = node != nullptr && node->file != nullptr;
  diagnostics_.push_back(
      {placed ? *node->file : "", placed ? node->line : 0, path, code, std::move(detail)});
}

void ObjectReader::AddAt(const std::string& key, DiagnosticCode code, std::string detail) {
  Add(Find(key), PathOf(key), code, std::move(detail));
}

std::string ObjectReader::PathOf(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

const SourceNode* ObjectReader::Find(const std::string& key) {
  read_.insert(key);
  if (node_ == nullptr) {
    return nullptr;
  }
  const auto member = node_->members.find(key);
  return member == node_->members.end() ? nullptr : &member->second;
}

bool ObjectReader::Has(const std::string& key) const {
  return node_ != nullptr && node_->members.contains(key);
}

const SourceNode* ObjectReader::TextNode(const std::string& key) {
  const SourceNode* node = Find(key);
  if (node != nullptr && !node->value.isString()) {
    Add(node, PathOf(key), DiagnosticCode::kWrongType, "must be a string");
    return nullptr;
  }
  return node;
}

void ObjectReader::Text(const std::string& key,
                        std::string& target,
                        std::size_t least,
                        std::size_t most) {
  const SourceNode* node = TextNode(key);
  if (node == nullptr) {
    return;
  }
  target = node->value.asString();
  if (target.size() < least || target.size() > most) {
    Add(node, PathOf(key), DiagnosticCode::kOutOfRange,
        "length " + Range(std::to_string(least), std::to_string(most)) + " bytes");
  }
}

void ObjectReader::SecretKey(const std::string& key, std::string& target) {
  Text(key, target, kLeastKeyBytes, kMostKeyBytes);
  if (!std::all_of(target.begin(), target.end(), IsVisible)) {
    AddAt(key, DiagnosticCode::kInvalidValue, "must be visible ASCII without blanks");
  }
}

std::optional<std::string> ObjectReader::IdentifierText(const std::string& key) {
  const SourceNode* node = TextNode(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  std::string text = node->value.asString();
  if (!IsIdentifier(text)) {
    Add(node, PathOf(key), DiagnosticCode::kInvalidValue,
        "must be 1 to 128 of the characters A-Z a-z 0-9 . _ : / -");
  }
  return text;
}

void ObjectReader::Flag(const std::string& key, bool& target) {
  const SourceNode* node = Find(key);
  if (node == nullptr) {
    return;
  }
  if (!node->value.isBool()) {
    return Add(node, PathOf(key), DiagnosticCode::kWrongType, "must be true or false");
  }
  target = node->value.asBool();
}

void ObjectReader::Real(const std::string& key, double& target, double least, double most) {
  const SourceNode* node = Find(key);
  if (node == nullptr) {
    return;
  }
  if (!node->value.isNumeric() || node->value.isBool()) {
    return Add(node, PathOf(key), DiagnosticCode::kWrongType, "must be a number");
  }
  target = node->value.asDouble();
  if (!std::isfinite(target) || target < least || target > most) {
    Add(node, PathOf(key), DiagnosticCode::kOutOfRange, Range(Shortest(least), Shortest(most)));
  }
}

std::optional<std::uint64_t> ObjectReader::WholeNumber(const std::string& key,
                                                       std::uint64_t least,
                                                       std::uint64_t most) {
  const SourceNode* node = Find(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  if (!node->value.isNumeric() || node->value.isBool()) {
    Add(node, PathOf(key), DiagnosticCode::kWrongType, "must be a whole number");
    return std::nullopt;
  }
  if (!node->value.isUInt64() || node->value.asUInt64() < least || node->value.asUInt64() > most) {
    Add(node, PathOf(key), DiagnosticCode::kOutOfRange,
        Range(std::to_string(least), std::to_string(most)));
    return std::nullopt;
  }
  return node->value.asUInt64();
}

void ObjectReader::Tokens(const std::string& key,
                          TokenCount& target,
                          std::uint64_t least,
                          std::uint64_t most) {
  if (const auto number = WholeNumber(key, least, most)) {
    target = TokenCount(*number);
  }
}

void ObjectReader::Milliseconds(const std::string& key,
                                Duration& target,
                                std::uint64_t least,
                                std::uint64_t most) {
  if (const auto number = WholeNumber(key, least, most)) {
    target = std::chrono::milliseconds(*number);
  }
}

void ObjectReader::Address(const std::string& key, SocketAddress& target) {
  const SourceNode* node = TextNode(key);
  if (node == nullptr) {
    return;
  }
  if (auto address = ParseSocketAddress(node->value.asString())) {
    target = std::move(*address);
  } else {
    Add(node, PathOf(key), DiagnosticCode::kInvalidValue, "must be an address a.b.c.d:port");
  }
}

void ObjectReader::OptionalAddress(const std::string& key, std::optional<SocketAddress>& target) {
  SocketAddress address;
  Address(key, address);
  if (address.port != 0) {
    target = std::move(address);
  }
}

void ObjectReader::Addresses(const std::string& key, std::vector<SocketAddress>& target) {
  const auto items = TextItems(key);
  if (!items) {
    return;
  }
  for (const auto& [text, node] : *items) {
    if (auto address = ParseSocketAddress(text)) {
      target.push_back(std::move(*address));
    } else {
      Add(node, PathOf(key), DiagnosticCode::kInvalidValue, "must be an address a.b.c.d:port");
    }
  }
}

std::optional<std::vector<std::pair<std::string, const SourceNode*>>> ObjectReader::TextItems(
    const std::string& key) {
  const SourceNode* node = Find(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  if (!node->value.isArray()) {
    Add(node, PathOf(key), DiagnosticCode::kWrongType, "must be an array");
    return std::nullopt;
  }
  std::vector<std::pair<std::string, const SourceNode*>> items;
  for (const SourceNode& item : node->items) {
    if (item.value.isString()) {
      items.emplace_back(item.value.asString(), &item);
    } else {
      Add(&item, PathOf(key), DiagnosticCode::kWrongType, "must hold strings only");
    }
  }
  return items;
}

const SourceNode* ObjectReader::Object(const std::string& key) {
  const SourceNode* node = Find(key);
  if (node != nullptr && !node->value.isObject()) {
    Add(node, PathOf(key), DiagnosticCode::kWrongType, "must be an object");
    return nullptr;
  }
  return node;
}

void ObjectReader::ForEach(
    const std::string& key,
    const std::function<void(const std::string& name, const SourceNode& node)>& visit) {
  const SourceNode* node = Object(key);
  if (node == nullptr) {
    return;
  }
  for (const auto& [name, member] : node->members) {
    if (!IsIdentifier(name)) {
      Add(&member, PathOf(key), DiagnosticCode::kInvalidValue,
          "a name must be 1 to 128 of the characters A-Z a-z 0-9 . _ : / -");
    }
    visit(name, member);
  }
}

void ObjectReader::Require(const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    if (node_ != nullptr && !Has(key)) {
      Add(node_, PathOf(key), DiagnosticCode::kMissingKey, "is required");
    }
  }
}

void ObjectReader::Finish() {
  if (node_ == nullptr) {
    return;
  }
  for (const auto& [key, member] : node_->members) {
    if (!read_.contains(key)) {
      Add(&member, PathOf(key), DiagnosticCode::kUnknownKey, "is not a known key");
    }
  }
}

}  // namespace acaciaspring::config
