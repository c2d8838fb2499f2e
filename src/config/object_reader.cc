#include "src/config/object_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace acaciaspring::config {

namespace {

constexpr std::size_t kMaxIdentifierBytes = 128;
constexpr std::size_t kMinSecretKeyBytes = 16;
constexpr std::size_t kMaxSecretKeyBytes = 256;

/// Parses a decimal number of at most `max_value` without leading zeros and removes it from `text`.
std::optional<unsigned> ConsumeNumber(std::string_view& text, unsigned max_value) {
  unsigned value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const auto length = static_cast<std::size_t>(end - text.data());
  if (error != std::errc() || value > max_value || (length > 1 && text.front() == '0')) {
    return std::nullopt;
  }
  text.remove_prefix(length);
  return value;
}

std::string RangeMessage(const std::string& min_value, const std::string& max_value) {
  return "must be from " + min_value + " to " + max_value;
}

std::string FormatDouble(double number) {
  std::array<char, 32> text{};
  const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() ? std::string(text.data(), end) : "?";
}

bool IsPrintableNonSpace(char byte) {
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
    if (!ConsumeNumber(text, 255) || text.empty() || text.front() != separator) {
      return std::nullopt;
    }
    text.remove_prefix(1);
  }
  const auto port = ConsumeNumber(text, 65535);
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
    AddDiagnostic(node_, path_, DiagnosticCode::kWrongType, "must be an object");
    node_ = nullptr;
  }
}

void ObjectReader::AddDiagnostic(const SourceNode* node,
                                 const std::string& path,
                                 DiagnosticCode code,
                                 std::string detail) {
  const bool has_location = node != nullptr && node->file != nullptr;
  diagnostics_.push_back({has_location ? *node->file : "", has_location ? node->line : 0, path,
                          code, std::move(detail)});
}

void ObjectReader::ReportError(const std::string& key, DiagnosticCode code, std::string detail) {
  AddDiagnostic(Find(key), KeyPath(key), code, std::move(detail));
}

std::string ObjectReader::KeyPath(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

const SourceNode* ObjectReader::Find(const std::string& key) {
  read_keys_.insert(key);
  if (node_ == nullptr) {
    return nullptr;
  }
  const auto member = node_->members.find(key);
  return member == node_->members.end() ? nullptr : &member->second;
}

bool ObjectReader::HasKey(const std::string& key) const {
  return node_ != nullptr && node_->members.contains(key);
}

const SourceNode* ObjectReader::FindString(const std::string& key) {
  const SourceNode* node = Find(key);
  if (node != nullptr && !node->value.isString()) {
    AddDiagnostic(node, KeyPath(key), DiagnosticCode::kWrongType, "must be a string");
    return nullptr;
  }
  return node;
}

void ObjectReader::ReadString(const std::string& key,
                              std::string& target,
                              std::size_t min_bytes,
                              std::size_t max_bytes) {
  const SourceNode* node = FindString(key);
  if (node == nullptr) {
    return;
  }
  target = node->value.asString();
  if (target.size() < min_bytes || target.size() > max_bytes) {
    AddDiagnostic(
        node, KeyPath(key), DiagnosticCode::kOutOfRange,
        "length " + RangeMessage(std::to_string(min_bytes), std::to_string(max_bytes)) + " bytes");
  }
}

void ObjectReader::ReadSecretKey(const std::string& key, std::string& target) {
  ReadString(key, target, kMinSecretKeyBytes, kMaxSecretKeyBytes);
  if (!std::all_of(target.begin(), target.end(), IsPrintableNonSpace)) {
    ReportError(key, DiagnosticCode::kInvalidValue,
                "must be printable ASCII characters without spaces");
  }
}

std::optional<std::string> ObjectReader::FindIdentifier(const std::string& key) {
  const SourceNode* node = FindString(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  std::string text = node->value.asString();
  if (!IsIdentifier(text)) {
    AddDiagnostic(node, KeyPath(key), DiagnosticCode::kInvalidValue,
                  "must be 1 to 128 characters from A-Z a-z 0-9 . _ : / -");
  }
  return text;
}

void ObjectReader::ReadBool(const std::string& key, bool& target) {
  const SourceNode* node = Find(key);
  if (node == nullptr) {
    return;
  }
  if (!node->value.isBool()) {
    return AddDiagnostic(node, KeyPath(key), DiagnosticCode::kWrongType, "must be true or false");
  }
  target = node->value.asBool();
}

void ObjectReader::ReadDouble(const std::string& key,
                              double& target,
                              double min_value,
                              double max_value) {
  const SourceNode* node = Find(key);
  if (node == nullptr) {
    return;
  }
  if (!node->value.isNumeric() || node->value.isBool()) {
    return AddDiagnostic(node, KeyPath(key), DiagnosticCode::kWrongType, "must be a number");
  }
  target = node->value.asDouble();
  if (!std::isfinite(target) || target < min_value || target > max_value) {
    AddDiagnostic(node, KeyPath(key), DiagnosticCode::kOutOfRange,
                  RangeMessage(FormatDouble(min_value), FormatDouble(max_value)));
  }
}

std::optional<std::uint64_t> ObjectReader::FindInteger(const std::string& key,
                                                       std::uint64_t min_value,
                                                       std::uint64_t max_value) {
  const SourceNode* node = Find(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  if (!node->value.isNumeric() || node->value.isBool()) {
    AddDiagnostic(node, KeyPath(key), DiagnosticCode::kWrongType, "must be a non-negative integer");
    return std::nullopt;
  }
  if (!node->value.isUInt64() || node->value.asUInt64() < min_value ||
      node->value.asUInt64() > max_value) {
    AddDiagnostic(node, KeyPath(key), DiagnosticCode::kOutOfRange,
                  RangeMessage(std::to_string(min_value), std::to_string(max_value)));
    return std::nullopt;
  }
  return node->value.asUInt64();
}

void ObjectReader::ReadTokenCount(const std::string& key,
                                  TokenCount& target,
                                  std::uint64_t min_value,
                                  std::uint64_t max_value) {
  if (const auto number = FindInteger(key, min_value, max_value)) {
    target = TokenCount(*number);
  }
}

void ObjectReader::ReadMilliseconds(const std::string& key,
                                    Duration& target,
                                    std::uint64_t min_value,
                                    std::uint64_t max_value) {
  if (const auto number = FindInteger(key, min_value, max_value)) {
    target = std::chrono::milliseconds(*number);
  }
}

void ObjectReader::ReadAddress(const std::string& key, SocketAddress& target) {
  const SourceNode* node = FindString(key);
  if (node == nullptr) {
    return;
  }
  if (auto address = ParseSocketAddress(node->value.asString())) {
    target = std::move(*address);
  } else {
    AddDiagnostic(node, KeyPath(key), DiagnosticCode::kInvalidValue,
                  "must be an IPv4 address and port, a.b.c.d:port");
  }
}

void ObjectReader::ReadOptionalAddress(const std::string& key,
                                       std::optional<SocketAddress>& target) {
  SocketAddress address;
  ReadAddress(key, address);
  if (address.port != 0) {
    target = std::move(address);
  }
}

void ObjectReader::ReadAddresses(const std::string& key, std::vector<SocketAddress>& target) {
  const auto items = ReadStringArray(key);
  if (!items) {
    return;
  }
  for (const auto& [text, node] : *items) {
    if (auto address = ParseSocketAddress(text)) {
      target.push_back(std::move(*address));
    } else {
      AddDiagnostic(node, KeyPath(key), DiagnosticCode::kInvalidValue,
                    "must be an IPv4 address and port, a.b.c.d:port");
    }
  }
}

std::optional<std::vector<std::pair<std::string, const SourceNode*>>> ObjectReader::ReadStringArray(
    const std::string& key) {
  const SourceNode* node = Find(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  if (!node->value.isArray()) {
    AddDiagnostic(node, KeyPath(key), DiagnosticCode::kWrongType, "must be an array");
    return std::nullopt;
  }
  std::vector<std::pair<std::string, const SourceNode*>> items;
  for (const SourceNode& item : node->items) {
    if (item.value.isString()) {
      items.emplace_back(item.value.asString(), &item);
    } else {
      AddDiagnostic(&item, KeyPath(key), DiagnosticCode::kWrongType, "must contain only strings");
    }
  }
  return items;
}

const SourceNode* ObjectReader::FindObject(const std::string& key) {
  const SourceNode* node = Find(key);
  if (node != nullptr && !node->value.isObject()) {
    AddDiagnostic(node, KeyPath(key), DiagnosticCode::kWrongType, "must be an object");
    return nullptr;
  }
  return node;
}

void ObjectReader::ForEachMember(
    const std::string& key,
    const std::function<void(const std::string& name, const SourceNode& node)>& visit) {
  const SourceNode* node = FindObject(key);
  if (node == nullptr) {
    return;
  }
  for (const auto& [name, member] : node->members) {
    if (!IsIdentifier(name)) {
      AddDiagnostic(&member, KeyPath(key), DiagnosticCode::kInvalidValue,
                    "a name must be 1 to 128 characters from A-Z a-z 0-9 . _ : / -");
    }
    visit(name, member);
  }
}

void ObjectReader::RequireKeys(const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    if (node_ != nullptr && !HasKey(key)) {
      AddDiagnostic(node_, KeyPath(key), DiagnosticCode::kMissingKey, "is required");
    }
  }
}

void ObjectReader::ReportUnknownKeys() {
  if (node_ == nullptr) {
    return;
  }
  for (const auto& [key, member] : node_->members) {
    if (!read_keys_.contains(key)) {
      AddDiagnostic(&member, KeyPath(key), DiagnosticCode::kUnknownKey, "is not a known key");
    }
  }
}

}  // namespace acaciaspring::config
