#ifndef ACACIASPRING_SRC_CONFIG_SOURCE_NODE_H_
#define ACACIASPRING_SRC_CONFIG_SOURCE_NODE_H_

#include <json/value.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaspring/config.h"

namespace acaciaspring::config {

/// @brief A parsed JSON value with the file and line where it starts.
struct SourceNode {
  /// The value of a scalar; an empty object or array if `members` or `items` has the content.
  Json::Value value;
  std::map<std::string, SourceNode> members;
  std::vector<SourceNode> items;
  std::shared_ptr<const std::string> file;
  std::size_t line = 0;
};

/// @brief Parses JSON with comments; the top-level value must be an object. Throws ConfigError.
SourceNode ParseSourceNode(std::string_view text, const std::string& file_name);
/// @brief Reads a file, but at most one byte more than kMaxConfigBytes, so that ParseSourceNode
/// rejects a larger file. Throws ConfigError if the file cannot be read.
std::string ReadFile(const std::string& path);
/// @brief Applies a JSON Merge Patch (RFC 7396): objects are merged, null removes a member, any
/// other value replaces the target.
void MergePatch(SourceNode& target, const SourceNode& patch);

}  // namespace acaciaspring::config

#endif  // ACACIASPRING_SRC_CONFIG_SOURCE_NODE_H_
