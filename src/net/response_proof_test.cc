#include "src/net/response_proof.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::net {

BOOST_AUTO_TEST_SUITE(response_proof)

// Guards against a repeated response, such as a refusal without an id, that is taken for the one to
// the current request.
BOOST_AUTO_TEST_CASE(owner_is_the_current_request_only_with_proof) {
  struct Row {
    ResponseEvidence evidence;
    ResponseOwner owner;
  };
  using enum ResponseOwner;
  const Row rows[] = {
      {{.request_id = "b", .echoed_id = "b", .has_earlier_response = false}, kCurrentRequest},
      {{.request_id = "b", .echoed_id = "b", .has_earlier_response = true}, kCurrentRequest},
      {{.request_id = "b", .echoed_id = "a", .has_earlier_response = false}, kEarlierRequest},
      {{.request_id = "b", .echoed_id = "a", .has_earlier_response = true}, kEarlierRequest},
      {{.request_id = "b", .echoed_id = "", .has_earlier_response = false}, kCurrentRequest},
      {{.request_id = "b", .echoed_id = "", .has_earlier_response = true}, kUnknown},
      // The server is not asked to echo an id.
      {{.request_id = "", .echoed_id = "", .has_earlier_response = true}, kCurrentRequest},
      {{.request_id = "", .echoed_id = "a", .has_earlier_response = true}, kCurrentRequest},
  };
  for (const Row& row : rows) {
    BOOST_TEST((FindResponseOwner(row.evidence) == row.owner),
               "'" << row.evidence.request_id << "' '" << row.evidence.echoed_id << "' "
                   << row.evidence.has_earlier_response);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
