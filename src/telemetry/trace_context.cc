#include <algorithm>

#include "acaciaspring/telemetry.h"

namespace acaciaspring::telemetry {

namespace {

// version "-" trace-id "-" parent-id "-" trace-flags
constexpr std::size_t kTraceparentBytes = 2 + 1 + 32 + 1 + 16 + 1 + 2;
// Longer headers are rejected without parsing them.
constexpr std::size_t kMaxHeaderBytes = 512;
constexpr std::uint8_t kSampledFlag = 1;

/// @brief Value of a lower-case hexadecimal digit; W3C Trace Context forbids upper case.
std::optional<std::uint8_t> DigitValue(char c) {
  if (c >= '0' && c <= '9') {
    return static_cast<std::uint8_t>(c - '0');
  }
  if (c >= 'a' && c <= 'f') {
    return static_cast<std::uint8_t>(c - 'a' + 10);
  }
  return std::nullopt;
}

template <std::size_t size>
std::optional<std::array<std::uint8_t, size>> ParseHex(std::string_view text) {
  std::array<std::uint8_t, size> bytes{};
  for (std::size_t index = 0; index < size; ++index) {
    const auto high = DigitValue(text[2 * index]);
    const auto low = DigitValue(text[2 * index + 1]);
    if (!high.has_value() || !low.has_value()) {
      return std::nullopt;
    }
    bytes[index] = static_cast<std::uint8_t>(*high << 4 | *low);
  }
  return bytes;
}

template <std::size_t size>
std::string FormatHex(const std::array<std::uint8_t, size>& bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const std::uint8_t byte : bytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

}  // namespace

std::string ToHex(const TraceId& id) {
  return FormatHex(id);
}

std::string ToHex(const SpanId& id) {
  return FormatHex(id);
}

std::optional<TraceContext> ParseTraceparent(std::string_view text) {
  if (text.size() < kTraceparentBytes || text.size() > kMaxHeaderBytes || text[2] != '-' ||
      text[35] != '-' || text[52] != '-') {
    return std::nullopt;
  }
  const auto version = ParseHex<1>(text.substr(0, 2));
  const auto trace = ParseHex<16>(text.substr(3, 32));
  const auto span = ParseHex<8>(text.substr(36, 16));
  const auto flags = ParseHex<1>(text.substr(53, 2));
  if (!version || !trace || !span || !flags || version->front() == 0xff || *trace == TraceId{} ||
      *span == SpanId{}) {
    return std::nullopt;
  }
  // Version 00 has no further fields; later versions may append fields after a dash.
  const std::string_view rest = text.substr(kTraceparentBytes);
  if (!rest.empty() && (version->front() == 0 || rest.front() != '-')) {
    return std::nullopt;
  }
  return TraceContext{*trace, *span, (flags->front() & kSampledFlag) != 0};
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + FormatHex(context.trace) + "-" + FormatHex(context.span) +
         (context.sampled ? "-01" : "-00");
}

}  // namespace acaciaspring::telemetry
