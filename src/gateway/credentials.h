#ifndef ACACIASPRING_SRC_GATEWAY_CREDENTIALS_H_
#define ACACIASPRING_SRC_GATEWAY_CREDENTIALS_H_

#include <cstdint>
#include <optional>

#include "src/gateway/context.h"
#include "src/gateway/response_sink.h"

namespace acaciaspring::gateway {

/// @brief Decides on the key of a request, replaces it by the name of its organisation, and keeps
/// the ids of the organisation's programs apart from others. Sets `priority` if the organisation
/// has one. Returns the error for a request that is refused.
std::optional<HttpError> Authorise(const Context& context,
                                   const Route& route,
                                   CallerRequest& request,
                                   std::uint32_t& priority);

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_CREDENTIALS_H_
