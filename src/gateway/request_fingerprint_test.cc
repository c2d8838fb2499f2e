#include "src/gateway/request_fingerprint.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace acaciaspring::gateway {

BOOST_AUTO_TEST_SUITE(request_fingerprint)

// Guards against different requests that count as the same one, also where the end of one part
// looks like the start of the next.
BOOST_AUTO_TEST_CASE(each_part_and_the_key_distinguish_requests) {
  const RequestContent content{
      .credentials = "x", .method = "POST", .host = "h", .target = "/a", .body = "b"};
  std::set<std::uint64_t> fingerprints{MakeFingerprint("key", content).value()};
  BOOST_TEST((MakeFingerprint("key", content) == RequestFingerprint(*fingerprints.begin())));
  std::vector<RequestContent> others(6, content);
  others[0].credentials = "y";
  others[1].method = "PUT";
  others[2].host = "i";
  others[3].target = "/b";
  others[4].body = "c";
  others[5].target = "/a1:b";
  others[5].body = "";
  for (const RequestContent& other : others) {
    BOOST_TEST(fingerprints.insert(MakeFingerprint("key", other).value()).second);
  }
  BOOST_TEST(fingerprints.insert(MakeFingerprint("other key", content).value()).second);
}

BOOST_AUTO_TEST_CASE(text_has_sixteen_digits) {
  BOOST_TEST(ToString(RequestFingerprint(0x1f)) == "000000000000001f");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
