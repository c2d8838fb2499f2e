#ifndef ACACIASPRING_SRC_NET_HTTP_MESSAGE_H_
#define ACACIASPRING_SRC_NET_HTTP_MESSAGE_H_

#include <string>
#include <string_view>

namespace acaciaspring::net {

std::string LowerCase(std::string_view text);
/// @brief True when the text cannot end a header line early.
bool IsHeaderText(std::string_view text);
/// @brief Headers that describe the connection or the length; h2o and the client write them.
bool IsFramingHeader(std::string_view lower_case_name);
/// @brief Static text.
const char* ReasonPhrase(int status);

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_HTTP_MESSAGE_H_
