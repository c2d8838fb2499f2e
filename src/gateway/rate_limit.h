#ifndef ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_H_
#define ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_H_

#include <optional>
#include <string>
#include <string_view>

namespace acaciaspring::gateway {

/// @brief Parses the limit that an endpoint names, in requests per second. Empty if the text is not
/// a finite decimal number of at least 0.
std::optional<double> ParseRateLimit(std::string_view text);
/// @brief The limit for a log line; "none" if it is empty.
std::string FormatRateLimit(const std::optional<double>& per_second);

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_RATE_LIMIT_H_
