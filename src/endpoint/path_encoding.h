#ifndef ACACIASPRING_SRC_ENDPOINT_PATH_ENCODING_H_
#define ACACIASPRING_SRC_ENDPOINT_PATH_ENCODING_H_

#include <string>
#include <string_view>

namespace acaciaspring::endpoint {

/// @brief Percent-encodes all characters except the unreserved ones (RFC 3986), so that a name
/// cannot add segments or a query to the path.
std::string EncodePathSegment(std::string_view text);

}  // namespace acaciaspring::endpoint

#endif  // ACACIASPRING_SRC_ENDPOINT_PATH_ENCODING_H_
