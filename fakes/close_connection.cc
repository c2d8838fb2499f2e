#include "fakes/service.h"

namespace acaciaspring::fakes {

void CloseConnection(const net::HttpResponderPtr& /*responder*/) {}

}  // namespace acaciaspring::fakes
