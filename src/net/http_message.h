#ifndef ACACIASPRING_SRC_NET_HTTP_MESSAGE_H_
#define ACACIASPRING_SRC_NET_HTTP_MESSAGE_H_

#include <string>
#include <string_view>

namespace acaciaspring::net {

std::string LowerCase(std::string_view text);
/// @brief True if `text` contains no control characters except tabs, so that it cannot terminate a
/// header line.
bool IsHeaderText(std::string_view text);
/// @brief True for a token of HTTP (RFC 9110, 5.6.2), such as the name of a header.
bool IsToken(std::string_view text);
/// @brief True for the headers on connection handling and message length, which only h2o and
/// HttpClient set.
bool IsFramingHeader(std::string_view lower_case_name);
/// @brief Returns a string with static storage duration.
const char* ReasonPhrase(int status);

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_HTTP_MESSAGE_H_
