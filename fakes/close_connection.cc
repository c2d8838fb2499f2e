#include "fakes/fake_http_server.h"
#include "src/net/http_responder.h"

namespace acaciaspring::fakes {

void CloseConnection(const net::HttpResponderPtr& responder) {
  // Needs the concrete responder: net::HttpResponder cannot abort a response, because the product
  // never does so on purpose.
  if (auto* h2o = dynamic_cast<net::H2oResponder*>(responder.get())) {
    h2o->AbortWithoutCallback();
  }
}

}  // namespace acaciaspring::fakes
