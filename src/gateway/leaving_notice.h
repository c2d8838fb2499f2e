#ifndef ACACIASPRING_SRC_GATEWAY_LEAVING_NOTICE_H_
#define ACACIASPRING_SRC_GATEWAY_LEAVING_NOTICE_H_

#include "src/gateway/context.h"

namespace acaciaspring::gateway {

/// @brief Whether the headers of an endpoint's response say that it leaves: at least one header of
/// the name has exactly the value 1, apart from blanks around it.
bool SaysLeaving(const net::Headers& headers, std::string_view name);

/// @brief Gives the endpoint no more calls and closes the idle connections to it.
void LearnLeaving(Context& context,
                  const RequestId& request,
                  const EndpointId& endpoint,
                  std::int64_t started_at_ms);

/// @brief The value that replaces the endpoint's own one in a response within the cluster, so that
/// each daemon that passes the response on knows which start leaves.
std::string FormatRelayedLeaving(const EndpointId& endpoint, std::int64_t started_at_ms);

/// @brief Applies and removes the value of FormatRelayedLeaving. The header does not concern
/// callers.
net::Headers TakeRelayedLeaving(Context& context, const RequestId& request, net::Headers headers);

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_LEAVING_NOTICE_H_
