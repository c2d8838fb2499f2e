#include "src/net/response_proof.h"

namespace acaciaspring::net {

ResponseOwner FindResponseOwner(const ResponseEvidence& evidence) {
  if (evidence.request_id.empty() || evidence.echoed_id == evidence.request_id) {
    return ResponseOwner::kCurrentRequest;
  }
  if (!evidence.echoed_id.empty()) {
    return ResponseOwner::kEarlierRequest;
  }
  // A server may repeat an earlier response, with or without its id. Only where there is none can a
  // response without an id not be such a copy.
  return evidence.has_earlier_response ? ResponseOwner::kUnknown : ResponseOwner::kCurrentRequest;
}

}  // namespace acaciaspring::net
