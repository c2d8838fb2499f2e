#include "src/gateway/buffer_budget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace acaciaspring::gateway {

namespace {

constexpr std::size_t kMemory = std::size_t{96} << 20;
constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = std::size_t{1} << 20;
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr int kTicksPerSecond = 10;

/// @brief A caller that reads a response as it arrives from an endpoint.
struct Caller {
  std::size_t read_per_second = 0;
  std::size_t sent_per_second = 0;
  /// Bytes of the response that the endpoint has not sent.
  std::size_t unsent = 0;
  BufferState state = {};
  bool closed = false;

  bool over() const { return closed || (unsent == 0 && state.buffered_bytes == 0); }
};

/// @brief Callers and a budget in virtual time.
struct Fixture {
  BufferId Add(const Caller& caller) {
    const BufferId id(next_id++);
    callers[id] = caller;
    return id;
  }

  void Tick() {
    now += kTick;
    for (auto& [id, caller] : callers) {
      if (caller.over()) {
        continue;
      }
      BufferState& state = caller.state;
      const std::size_t sent = std::min(caller.sent_per_second / kTicksPerSecond, caller.unsent);
      caller.unsent -= sent;
      state.buffered_bytes += sent;
      const std::size_t read =
          std::min(caller.read_per_second / kTicksPerSecond, state.buffered_bytes);
      state.buffered_bytes -= read;
      state.delivered_bytes += read;
      state.complete = caller.unsent == 0;
      budget.Update(id, state, now);
      Close();
      if (caller.over()) {
        budget.Remove(id);
      }
    }
    most_bytes = std::max(most_bytes, budget.buffered_bytes());
  }

  void Close() {
    for (const BufferId id : budget.ChooseToClose(now)) {
      callers[id].closed = true;
      closed.push_back(id);
      budget.Remove(id);
    }
  }

  void Run(int seconds) {
    for (int i = 0; i < seconds * kTicksPerSecond; ++i) {
      Tick();
    }
  }

  BufferBudget budget{kMemory};
  std::map<BufferId, Caller> callers;
  std::vector<BufferId> closed;
  std::size_t most_bytes = 0;
  std::uint64_t next_id = 1;
  MonotonicTime now{std::chrono::seconds(100)};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(buffer_budget, Fixture)

// Guards against memory that grows with the number of slow callers, and against fast callers that
// are closed for them.
BOOST_AUTO_TEST_CASE(many_slow_callers_are_closed_and_fast_ones_are_not) {
  std::set<BufferId> fast;
  for (int i = 0; i < 300; ++i) {
    Add({.read_per_second = 2 * kKilobyte,
         .sent_per_second = 200 * kKilobyte,
         .unsent = 4 * kMegabyte});
    if (i % 10 == 0) {
      // Reads as fast as the endpoint sends, but with a buffer of its own.
      fast.insert(Add({.read_per_second = 200 * kKilobyte,
                       .sent_per_second = 200 * kKilobyte,
                       .unsent = 4 * kMegabyte,
                       .state = {.buffered_bytes = 60 * kKilobyte}}));
    }
  }
  BOOST_TEST(budget.AcceptsRequests());
  Run(/*seconds=*/1);
  BOOST_TEST(!budget.AcceptsRequests());
  Run(/*seconds=*/30);
  BOOST_TEST(most_bytes <= kMemory / 2);
  BOOST_TEST(closed.size() > 100U);
  for (const BufferId id : fast) {
    BOOST_TEST(!callers[id].closed);
    BOOST_TEST(callers[id].over());
  }
}

// Guards against a slow caller that is closed or causes refusals although memory is free.
BOOST_AUTO_TEST_CASE(one_slow_caller_with_a_large_response_is_served) {
  const BufferId id = Add({.read_per_second = 100 * kKilobyte,
                           .sent_per_second = 8 * kMegabyte,
                           .unsent = 4 * kMegabyte});
  for (int i = 0; i < 60 * kTicksPerSecond; ++i) {
    Tick();
    BOOST_TEST(budget.AcceptsRequests());
  }
  BOOST_TEST(closed.empty());
  BOOST_TEST(callers[id].over());
  BOOST_TEST(callers[id].state.delivered_bytes == 4 * kMegabyte);
  BOOST_TEST(budget.buffered_bytes() == 0U);
}

// Guards against closing more connections than necessary, and against a daemon that refuses
// requests for ever after all callers were slow.
BOOST_AUTO_TEST_CASE(all_callers_are_slow_at_once) {
  for (int i = 0; i < 40; ++i) {
    Add({.read_per_second = 50 * kKilobyte,
         .sent_per_second = 1 * kMegabyte,
         .unsent = 2 * kMegabyte});
  }
  Run(/*seconds=*/5);
  BOOST_TEST(most_bytes <= kMemory / 2);
  BOOST_TEST(!budget.AcceptsRequests());
  BOOST_TEST(!closed.empty());
  // Together they have 80 MB; the rest of the 48 MB fits.
  BOOST_TEST(closed.size() <= 22U);
  Run(/*seconds=*/60);
  BOOST_TEST(budget.AcceptsRequests());
  BOOST_TEST(budget.buffered_bytes() == 0U);
}

// Guards against a complete response that is taken from a caller that still reads it, and against
// one that is kept for ever for a caller that does not.
BOOST_AUTO_TEST_CASE(complete_responses_are_kept_while_their_callers_read) {
  const BufferId reads = Add(
      {.read_per_second = kKilobyte, .sent_per_second = 40 * kMegabyte, .unsent = 30 * kMegabyte});
  const BufferId stopped = Add({.sent_per_second = 40 * kMegabyte, .unsent = 10 * kMegabyte});
  Run(/*seconds=*/1);
  budget.SetOtherBytes(12 * kMegabyte);
  Run(/*seconds=*/8);
  BOOST_TEST(closed.empty());
  BOOST_TEST(budget.IsOverClosingThreshold());
  Run(/*seconds=*/3);
  BOOST_TEST((closed == std::vector<BufferId>{stopped}));
  Run(/*seconds=*/60);
  BOOST_TEST(!callers[reads].closed);
}

// Guards against a caller that is still closed first after it has begun to read again.
BOOST_AUTO_TEST_CASE(caller_that_reads_again_is_kept) {
  const BufferId resumes = Add({.sent_per_second = 10 * kMegabyte, .unsent = 20 * kMegabyte});
  const BufferId slow = Add({.read_per_second = 2 * kKilobyte,
                             .sent_per_second = 2 * kMegabyte,
                             .unsent = 64 * kMegabyte});
  Run(/*seconds=*/2);
  callers[resumes].unsent = 200 * kMegabyte;
  callers[resumes].sent_per_second = kMegabyte;
  callers[resumes].read_per_second = kMegabyte;
  Run(/*seconds=*/28);
  BOOST_TEST((closed == std::vector<BufferId>{slow}));
  BOOST_TEST(most_bytes <= kMemory / 2);
}

// Guards against callers that read well being closed for the size of requests and chains.
BOOST_AUTO_TEST_CASE(fast_callers_are_not_closed_for_other_bytes) {
  const BufferId fast = Add({.read_per_second = 10 * kMegabyte,
                             .sent_per_second = 10 * kMegabyte,
                             .unsent = 200 * kMegabyte,
                             .state = {.buffered_bytes = kMegabyte}});
  const BufferId slow = Add(
      {.read_per_second = 2 * kKilobyte, .sent_per_second = kMegabyte, .unsent = 4 * kMegabyte});
  Run(/*seconds=*/2);
  budget.SetOtherBytes(kMemory);
  BOOST_TEST(!budget.AcceptsRequests());
  Run(/*seconds=*/2);
  BOOST_TEST((closed == std::vector<BufferId>{slow}));
  BOOST_TEST(!callers[fast].closed);
}

// Guards against a count that drifts from the bytes that are buffered.
BOOST_AUTO_TEST_CASE(bytes_are_counted_once) {
  budget.Update(BufferId(1), {.buffered_bytes = 10}, now);
  budget.Update(BufferId(1), {.buffered_bytes = 7}, now);
  budget.Update(BufferId(2), {.buffered_bytes = 5}, now);
  budget.SetOtherBytes(3);
  BOOST_TEST(budget.buffered_bytes() == 15U);
  budget.Remove(BufferId(1));
  budget.Remove(BufferId(1));
  BOOST_TEST(budget.buffered_bytes() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
