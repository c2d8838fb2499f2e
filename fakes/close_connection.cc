#include "fakes/fake_http_server.h"
#include "src/net/http_responder.h"

namespace acaciaspring::fakes {

void CloseConnection(const net::HttpResponderPtr& responder) {
  // The public interface has no way to break an answer: no part of the product does so on purpose.
  if (auto* h2o = dynamic_cast<net::H2oResponder*>(responder.get())) {
    h2o->Abandon();
  }
}

}  // namespace acaciaspring::fakes
