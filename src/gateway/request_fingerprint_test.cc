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
  std::set<std::uint64_t> fingerprints{MakeFingerprints("key", content).whole.value()};
  BOOST_TEST((MakeFingerprints("key", content) == MakeFingerprints("key", content)));
  std::vector<RequestContent> others(6, content);
  others[0].credentials = "y";
  others[1].method = "PUT";
  others[2].host = "i";
  others[3].target = "/b";
  others[4].body = "c";
  others[5].target = "/a1:b";
  others[5].body = "";
  for (const RequestContent& other : others) {
    BOOST_TEST(fingerprints.insert(MakeFingerprints("key", other).whole.value()).second);
  }
  BOOST_TEST(fingerprints.insert(MakeFingerprints("other key", content).whole.value()).second);
}

// Guards against a conversation that is not recognised when it comes again with a longer history,
// and against different conversations that count as the same one.
BOOST_AUTO_TEST_CASE(start_is_the_same_for_a_longer_history) {
  const std::string history(600, 'a');
  const std::string longer = history + "b";
  const std::string other = "b" + history;
  const auto fingerprints = [](std::string_view body) {
    return MakeFingerprints("key", {.target = "/", .body = body});
  };
  BOOST_TEST((fingerprints(history).start == fingerprints(longer).start));
  BOOST_TEST((fingerprints(history).whole != fingerprints(longer).whole));
  BOOST_TEST((fingerprints(history).start != fingerprints(other).start));
  BOOST_TEST((fingerprints("").start != fingerprints("").whole));
}

// Guards against a longer history that is not recognised by its earlier form, and against requests
// that only start alike and count as forms of one.
BOOST_AUTO_TEST_CASE(shorter_form_is_the_earlier_request) {
  const std::string instruction(600, 'a');
  const std::string earlier = instruction + "question";
  const auto fingerprints = [](std::string_view body, std::uint64_t shorter_bytes) {
    return MakeFingerprints("key", {.target = "/", .body = body},
                            [=](RequestFingerprint) { return std::vector{shorter_bytes}; });
  };
  const RequestFingerprint whole = fingerprints(earlier, 0).whole;
  const auto longer = fingerprints(earlier + "answer", earlier.size());
  BOOST_TEST((longer.shorter == std::vector{ShorterForm{whole, earlier.size()}}));
  const auto other = fingerprints(instruction + "other question", earlier.size());
  BOOST_TEST((other.start == longer.start));
  BOOST_REQUIRE(other.shorter.size() == 1U);
  BOOST_TEST((other.shorter[0].request != whole));
  BOOST_TEST(fingerprints(earlier, earlier.size()).shorter.empty());
  BOOST_TEST(fingerprints("short", 2).shorter.empty());
}

BOOST_AUTO_TEST_CASE(text_has_sixteen_digits) {
  BOOST_TEST(ToString(RequestFingerprint(0x1f)) == "000000000000001f");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
