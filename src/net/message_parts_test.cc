#include "src/net/message_parts.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace acaciaspring::net {

namespace {

constexpr std::size_t kMebibyte = std::size_t{1} << 20;
constexpr MessageStreamId kLong{1};
constexpr MessageStreamId kShort{2};

/// @brief Both ends of one direction of a connection, with frames that arrive when told to.
struct Fixture {
  /// @brief Moves all frames that may be sent onto the link.
  void Send() {
    while (auto frame = sender.Next()) {
      largest_on_link = std::max(largest_on_link, on_link_bytes += frame->size());
      link.push_back(std::move(*frame));
    }
  }
  /// @brief Delivers the oldest frame on the link and returns the replies to the sender.
  void Receive() {
    const std::string frame = std::move(link.front());
    link.pop_front();
    on_link_bytes -= frame.size();
    const std::string_view body = std::string_view(frame).substr(1);
    const auto header = [&] {
      return wire::Decode<TransferHeader>(body.substr(0, kTransferHeaderBytes));
    };
    const auto kind = static_cast<FrameKind>(frame.front());
    if (kind == FrameKind::kMessage) {
      messages.emplace_back(body);
    } else if (kind == FrameKind::kOffer) {
      BOOST_TEST(receiver.OnOffer(header().transfer, header().bytes));
    } else if (kind == FrameKind::kWithdrawn) {
      receiver.OnWithdrawn(header().transfer);
    } else {
      auto result = receiver.OnPart(header().transfer, body.substr(kTransferHeaderBytes),
                                    kind == FrameKind::kLastPart);
      BOOST_TEST(!std::holds_alternative<InvalidPart>(result));
      if (auto* message = std::get_if<AssembledMessage>(&result)) {
        messages.push_back(std::move(message->payload));
      }
    }
    most_reserved = std::max(most_reserved, receiving.used_bytes());
  }
  void Reply() {
    while (const auto frame = receiver.Next()) {
      const auto header = wire::Decode<TransferHeader>(std::string_view(*frame).substr(1));
      if (static_cast<FrameKind>(frame->front()) == FrameKind::kAccept) {
        sender.OnAccepted(header.transfer);
      } else {
        sender.OnCredit(header.bytes);
      }
    }
  }
  void RunUntilIdle() {
    for (Send(); !link.empty(); Send()) {
      Receive();
      Reply();
    }
  }

  TransferBudget sending{4 * kMebibyte};
  TransferBudget receiving{4 * kMebibyte};
  MessageSender sender{sending, [] {}};
  MessageReceiver receiver{receiving, [] {}};
  std::deque<std::string> link;
  std::size_t on_link_bytes = 0;
  std::size_t largest_on_link = 0;
  std::size_t most_reserved = 0;
  std::vector<std::string> messages;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(message_parts, Fixture)

// Guards against a long message that is lost, cut or joined wrongly.
BOOST_AUTO_TEST_CASE(long_messages_arrive_whole) {
  std::vector<std::string> sent;
  for (const std::size_t bytes : {wire::kMaxWholeMessageBytes, wire::kMaxWholeMessageBytes + 1,
                                  10 * kMebibyte, 10 * kMebibyte + 1}) {
    std::string message(bytes, 'x');
    for (std::size_t i = 0; i < bytes; i += 1000) {
      message[i] = static_cast<char>('a' + i / 1000 % 26);
    }
    sender.Add(kLong, message);
    sent.push_back(std::move(message));
  }
  RunUntilIdle();
  BOOST_TEST((messages == sent));
  BOOST_TEST(receiving.used_bytes() + sending.used_bytes() == 0U);
}

// Guards against heartbeats and cancellations that wait until a long message has been sent.
BOOST_AUTO_TEST_CASE(short_messages_overtake_a_long_one_of_another_stream) {
  sender.Add(kLong, std::string(10 * kMebibyte, 'x'));
  Send();
  Receive();
  Reply();
  Send();
  sender.Add(kShort, "heartbeat");
  RunUntilIdle();
  BOOST_REQUIRE(messages.size() == 2U);
  BOOST_TEST(messages[0] == "heartbeat");
  BOOST_TEST(largest_on_link <= kPartWindowBytes + 2 * kPartBytes);
}

// Guards against a cancellation that arrives before the request that it cancels.
BOOST_AUTO_TEST_CASE(messages_of_one_stream_stay_in_order) {
  const std::string long_message(kMebibyte, 'x');
  sender.Add(kLong, "first");
  sender.Add(kLong, long_message);
  sender.Add(kLong, "third");
  sender.Add(kLong, long_message);
  sender.Add(kLong, "fifth");
  RunUntilIdle();
  BOOST_TEST((messages ==
              std::vector<std::string>{"first", long_message, "third", long_message, "fifth"}));
}

// Guards against memory at either end that grows with the number of long messages.
BOOST_AUTO_TEST_CASE(budget_limits_the_long_messages_in_progress) {
  constexpr int kMessages = 20;
  std::size_t most_encoded = 0;
  for (std::uint64_t i = 0; i < kMessages; ++i) {
    sender.Add(DeferredMessage{
        .stream = MessageStreamId(100 + i), .bytes = 3 * kMebibyte / 2, .encode = [&] {
          most_encoded = std::max(most_encoded, sender.queued_bytes());
          return std::string(3 * kMebibyte / 2, 'x');
        }});
  }
  RunUntilIdle();
  BOOST_TEST(messages.size() == std::size_t{kMessages});
  BOOST_TEST(most_reserved <= 4 * kMebibyte);
  BOOST_TEST(most_encoded <= 4 * kMebibyte);
}

// Guards against a message above the whole budget that waits for ever, and against a stream of
// small ones that keeps it waiting.
BOOST_AUTO_TEST_CASE(message_above_the_budget_is_sent_alone) {
  sender.Add(MessageStreamId(10), std::string(kMebibyte, 'a'));
  sender.Add(MessageStreamId(11), std::string(9 * kMebibyte, 'b'));
  sender.Add(MessageStreamId(12), std::string(kMebibyte, 'c'));
  RunUntilIdle();
  BOOST_REQUIRE(messages.size() == 3U);
  BOOST_TEST(messages[1].size() == 9 * kMebibyte);
  BOOST_TEST(messages[2].front() == 'c');
}

// Guards against memory that stays reserved for a message that is not sent to its end.
BOOST_AUTO_TEST_CASE(withdrawn_messages_release_their_memory) {
  bool encoded = false;
  sender.Add(DeferredMessage{
      .stream = MessageStreamId(10), .bytes = kMebibyte, .encode = [] { return std::nullopt; }});
  sender.Add(DeferredMessage{.stream = MessageStreamId(11), .bytes = kMebibyte, .encode = [&] {
                               encoded = true;
                               return std::string();
                             }});
  sender.Add(kLong, std::string(3 * kMebibyte, 'x'));
  sender.Withdraw(MessageStreamId(11));
  for (int i = 0; i < 4; ++i) {
    Send();
    Receive();
    Reply();
  }
  sender.Withdraw(kLong);
  sender.Withdraw(kLong);
  sender.Add(kLong, "next");
  RunUntilIdle();
  BOOST_TEST(messages == std::vector<std::string>{"next"}, boost::test_tools::per_element());
  BOOST_TEST(!encoded);
  BOOST_TEST(receiving.used_bytes() + sending.used_bytes() == 0U);
  BOOST_TEST(sender.queued_bytes() == 0U);
}

// Guards against a peer that makes this end keep bytes for which it has not reserved memory.
BOOST_AUTO_TEST_CASE(parts_that_were_not_accepted_are_invalid) {
  const auto is_invalid = [&](TransferId id, std::size_t bytes) {
    return std::holds_alternative<InvalidPart>(
        receiver.OnPart(id, std::string(bytes, 'x'), /*last=*/false));
  };
  BOOST_TEST(is_invalid(TransferId(1), 1));
  BOOST_TEST(!receiver.OnOffer(TransferId(1), wire::kMaxMessageBytes + 1));
  BOOST_TEST(receiver.OnOffer(TransferId(1), kMebibyte));
  BOOST_TEST(!receiver.OnOffer(TransferId(1), kMebibyte));
  BOOST_TEST(is_invalid(TransferId(1), 1));
  BOOST_TEST(receiver.Next().has_value());
  BOOST_TEST(!is_invalid(TransferId(1), kMebibyte));
  BOOST_TEST(is_invalid(TransferId(1), wire::kMaxFrameBytes + 1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
