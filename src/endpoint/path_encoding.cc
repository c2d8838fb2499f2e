#include "src/endpoint/path_encoding.h"

namespace acaciaspring::endpoint {

namespace {

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '~' || c == '.';
}

}  // namespace

std::string EncodePathSegment(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  // Servers resolve the segments `.` and `..` as relative paths.
  const bool only_dots = text.find_first_not_of('.') == std::string_view::npos;
  std::string encoded;
  for (const char c : text) {
    if (IsUnreserved(c) && !(only_dots && c == '.')) {
      encoded.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded.push_back('%');
    encoded.push_back(kDigits[byte >> 4U]);
    encoded.push_back(kDigits[byte & 0xfU]);
  }
  return encoded;
}

}  // namespace acaciaspring::endpoint
