#include "acaciaspring/wire.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace acaciaspring::wire {

namespace {

CallRequest SampleCall() {
  CallRequest call;
  call.exchange = ExchangeId(7);
  call.organisation = OrganisationId("hinokuni");
  call.program = ProgramId("p");
  call.operation = ModelCall{ModelId("m"), "[]", TokenCount(10)};
  return call;
}

}  // namespace

BOOST_AUTO_TEST_CASE(messages_round_trip) {
  const Message decoded = Decode<Message>(Encode(Message(SampleCall())));
  const auto& call = std::get<CallRequest>(decoded);
  BOOST_TEST(call.organisation.value() == "hinokuni");
  BOOST_TEST(std::get<ModelCall>(call.operation).max_tokens.value() == 10U);
}

// A short message with a huge length prefix must be rejected before that length is allocated.
BOOST_AUTO_TEST_CASE(length_beyond_the_end_is_rejected) {
  const std::string bytes = Encode(std::uint32_t{0x10000000}) + "abc";
  BOOST_CHECK_EXCEPTION(Decode<std::string>(bytes), DecodeError, [](const DecodeError& error) {
    return error.fault() == DecodeFault::kLengthBeyondEnd;
  });
}

// Truncated messages must raise DecodeError; altered ones must decode or raise it, but never crash.
BOOST_AUTO_TEST_CASE(corrupted_messages_are_rejected) {
  const std::string encoded = Encode(Message(SampleCall()));
  for (std::size_t size = 0; size < encoded.size(); ++size) {
    BOOST_CHECK_THROW(Decode<Message>(encoded.substr(0, size)), DecodeError);
  }
  std::mt19937 random(1);
  for (int round = 0; round < 20000; ++round) {
    std::string corrupted = encoded;
    for (int change = 0; change < 3; ++change) {
      corrupted[random() % corrupted.size()] = static_cast<char>(random());
    }
    try {
      Decode<Message>(corrupted);
    } catch (const DecodeError&) {
      continue;
    }
  }
}

// Replayed, reordered, reflected or altered frames must fail verification.
BOOST_AUTO_TEST_CASE(frames_are_bound_to_direction_and_position) {
  const Nonce initiator = MakeNonce();
  const Nonce acceptor = MakeNonce();
  FrameAuthenticator sender("key", initiator, acceptor, Direction::kToAcceptor);
  FrameAuthenticator receiver("key", initiator, acceptor, Direction::kToAcceptor);
  FrameAuthenticator reflected("key", initiator, acceptor, Direction::kToInitiator);
  const std::string first = sender.Sign("one");
  const std::string second = sender.Sign("two");
  BOOST_TEST(!receiver.Verify(second, "two"));
  BOOST_TEST(!receiver.Verify(first, "two"));
  BOOST_TEST(!reflected.Verify(first, "one"));
  BOOST_TEST(receiver.Verify(first, "one"));
  BOOST_TEST(!receiver.Verify(first, "one"));
  BOOST_TEST(receiver.Verify(second, "two"));
}

BOOST_AUTO_TEST_CASE(forged_datagrams_are_rejected) {
  const std::string datagram = SignDatagram("key", "payload");
  BOOST_TEST(VerifyDatagram("key", datagram).value() == "payload");
  BOOST_TEST(!VerifyDatagram("other", datagram).has_value());
  BOOST_TEST(!VerifyDatagram("key", datagram + "x").has_value());
  BOOST_TEST(!VerifyDatagram("key", "short").has_value());
}

}  // namespace acaciaspring::wire
