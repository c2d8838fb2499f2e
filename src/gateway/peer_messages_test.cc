#include "src/gateway/peer_messages.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace acaciaspring::gateway {

BOOST_AUTO_TEST_SUITE(peer_messages)

BOOST_AUTO_TEST_CASE(turn_request_round_trips) {
  const TurnRequest sent{.exchange = ExchangeId(4),
                         .id = RequestId("r"),
                         .service = ServiceId("s"),
                         .kind = RequestKind::kResumableStream,
                         .retained = true,
                         .remaining_us = 17,
                         .program = {.program = ProgramId("p"),
                                     .budget = TokenCount(9),
                                     .previous_turn = ledger::TurnId("t")},
                         .headers = {{"a", "b"}},
                         .body = "body"};
  const auto received = std::get<TurnRequest>(DecodePeerMessage(EncodePeerMessage(sent)));
  BOOST_TEST((received.kind == sent.kind));
  BOOST_TEST(received.program.budget->value() == 9U);
  BOOST_TEST(received.program.previous_turn.value() == "t");
  BOOST_TEST((received.headers == sent.headers));
  BOOST_TEST(received.body == "body");
}

// Guards against messages of an unknown sender or another version that cause anything but a
// DecodeError.
BOOST_AUTO_TEST_CASE(malformed_messages_throw_decode_error) {
  std::mt19937_64 random(11);
  const std::string valid = EncodePeerMessage(
      TurnRequest{.id = RequestId("r"), .headers = {{"name", "value"}}, .body = "body"});
  int rejected = 0;
  for (int round = 0; round < 50'000; ++round) {
    std::string bytes = valid.substr(0, 1 + random() % valid.size());
    for (std::uint64_t change = random() % 5; change > 0; --change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    try {
      DecodePeerMessage(bytes);
    } catch (const wire::DecodeError&) {
      ++rejected;
    }
  }
  BOOST_TEST(rejected > 0);
  BOOST_CHECK_THROW(DecodePeerMessage(""), wire::DecodeError);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
