#include "src/gateway/rate_limit.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace acaciaspring::gateway {

std::optional<double> ParseRateLimit(std::string_view text) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_to, error] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const bool valid = error == std::errc() && parsed_to == end && std::isfinite(value) && value >= 0;
  return valid ? std::optional<double>(value) : std::nullopt;
}

std::string FormatRateLimit(const std::optional<double>& per_second) {
  if (!per_second) {
    return "none";
  }
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", *per_second);
  return text.data();
}

}  // namespace acaciaspring::gateway
