#ifndef ACACIASPRING_SRC_CONFIG_SOURCE_H_
#define ACACIASPRING_SRC_CONFIG_SOURCE_H_

#include <json/value.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaspring/config.h"

namespace acaciaspring::config {

/// @brief A parsed JSON value that remembers its file and line.
struct SourceNode {
  /// Scalar, or an empty value of the kind.
  Json::Value value;
  std::map<std::string, SourceNode> members;
  std::vector<SourceNode> items;
  std::shared_ptr<const std::string> file;
  std::size_t line = 0;
};

/// @brief Parses JSON with comments; the top must be an object. Throws ConfigError.
SourceNode ParseSource(std::string_view text, const std::string& file_name);
/// @brief Reads a file of at most kMaxTextBytes. Throws ConfigError.
std::string ReadFile(const std::string& path);
/// @brief RFC 7396: objects are merged, null removes, anything else replaces.
void MergePatch(SourceNode& target, const SourceNode& patch);

}  // namespace acaciaspring::config

#endif  // ACACIASPRING_SRC_CONFIG_SOURCE_H_
