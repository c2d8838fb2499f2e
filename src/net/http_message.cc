#include "src/net/http_message.h"

#include <algorithm>

#include "acaciaspring/net.h"

namespace acaciaspring::net {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return lower;
}

bool IsHeaderText(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
  });
}

bool IsToken(std::string_view text) {
  constexpr std::string_view kTokenCharacters =
      "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
  return !text.empty() && text.find_first_not_of(kTokenCharacters) == std::string_view::npos;
}

bool IsFramingHeader(std::string_view lower_case_name) {
  return lower_case_name == "connection" || lower_case_name == "content-length" ||
         lower_case_name == "transfer-encoding" || lower_case_name == "keep-alive";
}

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string_view FindHeader(const Headers& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [name](const auto& header) { return header.first == name; });
  return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

bool IsResponseHead(int status, const Headers& headers) {
  constexpr std::string_view kNotInValues("\r\n\0", 3);
  return status >= 200 && status <= 599 &&
         std::all_of(headers.begin(), headers.end(), [&](const auto& header) {
           return IsToken(header.first) &&
                  header.second.find_first_of(kNotInValues) == std::string::npos;
         });
}

std::string_view FindQueryParameter(const HttpRequest& request, std::string_view name) {
  std::string_view rest = request.query;
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const auto equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name) {
      return pair.substr(std::min(equals + 1, pair.size()));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

}  // namespace acaciaspring::net
