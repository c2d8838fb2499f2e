#ifndef ACACIASPRING_SRC_ENDPOINT_PATH_H_
#define ACACIASPRING_SRC_ENDPOINT_PATH_H_

#include <string>
#include <string_view>

namespace acaciaspring::endpoint {

/// @brief Percent-encodes everything but unreserved characters, so that a name cannot add further
/// segments or a query to a path.
std::string EncodePathSegment(std::string_view text);

}  // namespace acaciaspring::endpoint

#endif  // ACACIASPRING_SRC_ENDPOINT_PATH_H_
