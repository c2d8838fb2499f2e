#ifndef ACACIASPRING_SRC_CONFIG_OBJECT_READER_H_
#define ACACIASPRING_SRC_CONFIG_OBJECT_READER_H_

#include <functional>
#include <limits>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/config/source_node.h"

namespace acaciaspring::config {

/// @brief Parses "a.b.c.d:port"; the port must not be 0.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);
/// @brief Whether the text is 1 to 128 characters from A-Z a-z 0-9 . _ : / -
bool IsIdentifier(std::string_view text);

/// @brief Reads the values of a JSON object into variables and records a diagnostic for each error
/// instead of stopping at the first one. An absent optional key leaves the variable unchanged.
class ObjectReader {
 public:
  /// @brief A null `node` is an absent object: no key is present and none is required.
  ObjectReader(const SourceNode* node, std::string path, std::vector<Diagnostic>& diagnostics);

  /// @brief Reads a string of `min_bytes` to `max_bytes` bytes.
  void ReadString(const std::string& key,
                  std::string& target,
                  std::size_t min_bytes,
                  std::size_t max_bytes);
  /// @brief Reads a key of 16 to 256 printable ASCII characters without spaces.
  void ReadSecretKey(const std::string& key, std::string& target);
  template <class Id>
  void ReadIdentifier(const std::string& key, Id& target) {
    if (auto text = FindIdentifier(key)) {
      target = Id(std::move(*text));
    }
  }
  void ReadBool(const std::string& key, bool& target);
  void ReadDouble(const std::string& key, double& target, double min_value, double max_value);
  template <class Number>
  void ReadInteger(const std::string& key,
                   Number& target,
                   std::uint64_t min_value,
                   std::uint64_t max_value) {
    if (const auto number = FindInteger(key, min_value, max_value)) {
      target = static_cast<Number>(*number);
    }
  }
  void ReadTokenCount(const std::string& key,
                      TokenCount& target,
                      std::uint64_t min_value,
                      std::uint64_t max_value);
  /// @brief Reads a duration given in milliseconds.
  void ReadMilliseconds(const std::string& key,
                        Duration& target,
                        std::uint64_t min_value,
                        std::uint64_t max_value);
  void ReadAddress(const std::string& key, SocketAddress& target);
  void ReadOptionalAddress(const std::string& key, std::optional<SocketAddress>& target);
  void ReadAddresses(const std::string& key, std::vector<SocketAddress>& target);
  template <class Enum>
  void ReadEnum(const std::string& key,
                Enum& target,
                const std::vector<std::pair<std::string, Enum>>& choices) {
    const SourceNode* node = FindString(key);
    if (node == nullptr) {
      return;
    }
    std::string names;
    for (const auto& [name, value] : choices) {
      if (node->value.asString() == name) {
        target = value;
        return;
      }
      names += (names.empty() ? "" : ", ") + name;
    }
    AddDiagnostic(node, KeyPath(key), DiagnosticCode::kInvalidValue, "must be one of: " + names);
  }

  /// @brief Returns the member if it is an object; records a diagnostic if it has another type.
  const SourceNode* FindObject(const std::string& key);
  /// @brief Calls `visit` for every member of the object `key`. Names must be identifiers.
  void ForEachMember(
      const std::string& key,
      const std::function<void(const std::string& name, const SourceNode& node)>& visit);
  /// @brief Returns the items of an array of strings; nullopt if the key is absent or no array.
  std::optional<std::vector<std::pair<std::string, const SourceNode*>>> ReadStringArray(
      const std::string& key);
  /// @brief Records a diagnostic for each missing key. Call it before reading the keys.
  void RequireKeys(const std::vector<std::string>& keys);
  /// @brief Records a diagnostic for each key that was not read.
  void ReportUnknownKeys();

  bool HasKey(const std::string& key) const;
  std::string KeyPath(const std::string& key) const;
  /// @brief Records a diagnostic for the value of a key.
  void ReportError(const std::string& key, DiagnosticCode code, std::string detail);

 private:
  const SourceNode* Find(const std::string& key);
  const SourceNode* FindString(const std::string& key);
  std::optional<std::string> FindIdentifier(const std::string& key);
  std::optional<std::uint64_t> FindInteger(const std::string& key,
                                           std::uint64_t min_value,
                                           std::uint64_t max_value);
  void AddDiagnostic(const SourceNode* node,
                     const std::string& path,
                     DiagnosticCode code,
                     std::string detail);

  const SourceNode* node_;
  std::string path_;
  std::vector<Diagnostic>& diagnostics_;
  std::set<std::string> read_keys_;
};

}  // namespace acaciaspring::config

#endif  // ACACIASPRING_SRC_CONFIG_OBJECT_READER_H_
