#include "src/gateway/leaving_notice.h"

#include <algorithm>
#include <charconv>

namespace acaciaspring::gateway {

namespace {

std::string_view TrimBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  text.remove_prefix(std::min(text.find_first_not_of(kBlanks), text.size()));
  return text.substr(0, text.find_last_not_of(kBlanks) + 1);
}

}  // namespace

bool SaysLeaving(const net::Headers& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(), [&](const auto& header) {
    return header.first == name && TrimBlanks(header.second) == "1";
  });
}

void LearnLeaving(Context& context,
                  const RequestId& request,
                  const EndpointId& endpoint,
                  std::int64_t started_at_ms) {
  const auto notice =
      context.endpoints.OnLeaving({.endpoint = endpoint,
                                   .started_at_ms = started_at_ms,
                                   .at = context.loop.Now(),
                                   .wall_ms = net::Loop::WallNow().time_since_epoch().count()});
  if (!notice) {
    return;
  }
  const RegisteredEndpoint* listed = context.endpoints.Find(endpoint);
  if (listed != nullptr) {
    context.client.CloseIdleConnections(listed->address);
  }
  const char* state = listed == nullptr                        ? "gone"
                      : listed->state == EndpointState::kReady ? "ready"
                                                               : "draining";
  context.events.Write(
      "endpoint_leaves",
      {{"endpoint", endpoint.value()},
       {"started_at_ms", started_at_ms},
       {"id", request.value()},
       {"registered", state},
       {"registry_age_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(notice->registry_age).count()}});
}

std::string FormatRelayedLeaving(const EndpointId& endpoint, std::int64_t started_at_ms) {
  return std::to_string(started_at_ms) + " " + endpoint.value();
}

net::Headers TakeRelayedLeaving(Context& context, const RequestId& request, net::Headers headers) {
  const std::string& name = context.options.headers.leaving;
  const std::string value(net::FindHeader(headers, name));
  std::erase_if(headers, [&](const auto& header) { return header.first == name; });
  std::int64_t started_at_ms = 0;
  const char* const begin = value.data();
  const auto [end, error] = std::from_chars(begin, begin + value.size(), started_at_ms);
  const auto separator = static_cast<std::size_t>(end - begin);
  if (error == std::errc() && separator + 1 < value.size() && value[separator] == ' ') {
    LearnLeaving(context, request, EndpointId(value.substr(separator + 1)), started_at_ms);
  }
  return headers;
}

}  // namespace acaciaspring::gateway
