#ifndef ACACIASPRING_SRC_NET_PIPELINED_INPUT_H_
#define ACACIASPRING_SRC_NET_PIPELINED_INPUT_H_

#include "src/net/h2o.h"

namespace acaciaspring::net {

/// @brief True if bytes of a further request have arrived behind `request`, whose handler is
/// running. Line ends alone are no request.
bool HasPipelinedInput(const h2o_req_t& request);

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_PIPELINED_INPUT_H_
