#ifndef ACACIASPRING_SRC_CONFIG_OBJECT_READER_H_
#define ACACIASPRING_SRC_CONFIG_OBJECT_READER_H_

#include <functional>
#include <limits>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/config/source.h"

namespace acaciaspring::config {

/// @brief Parses "a.b.c.d:port" with a port above 0.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);
/// @brief True for 1 to 128 of the characters A-Z a-z 0-9 . _ : / and -.
bool IsIdentifier(std::string_view text);

/// @brief Fills the members of an aggregate from a JSON object, and notes every fault instead of
/// stopping at the first. An absent optional key leaves the member as it is.
class ObjectReader {
 public:
  /// @brief `node` may be null, which reads as an absent object.
  ObjectReader(const SourceNode* node, std::string path, std::vector<Diagnostic>& diagnostics);

  void Text(const std::string& key, std::string& target, std::size_t least, std::size_t most);
  /// @brief Printable ASCII without blanks, at least 16 bytes.
  void SecretKey(const std::string& key, std::string& target);
  template <class Id>
  void Identifier(const std::string& key, Id& target) {
    if (auto text = IdentifierText(key)) {
      target = Id(std::move(*text));
    }
  }
  void Flag(const std::string& key, bool& target);
  void Real(const std::string& key, double& target, double least, double most);
  template <class Number>
  void Whole(const std::string& key, Number& target, std::uint64_t least, std::uint64_t most) {
    if (const auto number = WholeNumber(key, least, most)) {
      target = static_cast<Number>(*number);
    }
  }
  void Tokens(const std::string& key, TokenCount& target, std::uint64_t least, std::uint64_t most);
  /// @brief A number of milliseconds.
  void Milliseconds(const std::string& key,
                    Duration& target,
                    std::uint64_t least,
                    std::uint64_t most);
  void Address(const std::string& key, SocketAddress& target);
  void OptionalAddress(const std::string& key, std::optional<SocketAddress>& target);
  void Addresses(const std::string& key, std::vector<SocketAddress>& target);
  template <class Enum>
  void Choice(const std::string& key,
              Enum& target,
              const std::vector<std::pair<std::string, Enum>>& choices) {
    const SourceNode* node = TextNode(key);
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
    Add(node, PathOf(key), DiagnosticCode::kInvalidValue, "must be one of: " + names);
  }

  /// @brief The member if it is an object, noting a fault if it is something else.
  const SourceNode* Object(const std::string& key);
  /// @brief Calls for every member of the object `key`, whose names must be identifiers.
  void ForEach(const std::string& key,
               const std::function<void(const std::string& name, const SourceNode& node)>& visit);
  /// @brief The items of an array of text; absent if there is none or it is at fault.
  std::optional<std::vector<std::pair<std::string, const SourceNode*>>> TextItems(
      const std::string& key);
  /// @brief Notes a missing key. Call it before reading the keys.
  void Require(const std::vector<std::string>& keys);
  /// @brief Notes every key that was not read.
  void Finish();

  bool Has(const std::string& key) const;
  std::string PathOf(const std::string& key) const;
  /// @brief Notes a fault of the value of a key.
  void AddAt(const std::string& key, DiagnosticCode code, std::string detail);

 private:
  const SourceNode* Find(const std::string& key);
  const SourceNode* TextNode(const std::string& key);
  std::optional<std::string> IdentifierText(const std::string& key);
  std::optional<std::uint64_t> WholeNumber(const std::string& key,
                                           std::uint64_t least,
                                           std::uint64_t most);
  void Add(const SourceNode* node,
           const std::string& path,
           DiagnosticCode code,
           std::string detail);

  const SourceNode* node_;
  std::string path_;
  std::vector<Diagnostic>& diagnostics_;
  std::set<std::string> read_;
};

}  // namespace acaciaspring::config

#endif  // ACACIASPRING_SRC_CONFIG_OBJECT_READER_H_
