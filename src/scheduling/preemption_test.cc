#include <boost/test/unit_test.hpp>

#include "acaciaspring/scheduling.h"

namespace acaciaspring {
namespace {

const PriorityClassId kUrgent("urgent");
const PriorityClassId kNormal("normal");
const PriorityClassId kBatch("batch");

RunningCall Stream(std::uint64_t id,
                   const PriorityClassId& priority_class,
                   std::uint32_t pauses = 0) {
  return {.id = QueuedCallId(id),
          .priority_class = priority_class,
          .expected_remaining = TokenCount(100 + id),
          .pauses = pauses,
          .resumable = true};
}

struct Fixture {
  Fixture()
      : queue({.classes = {{.id = kUrgent, .rank = 0},
                           {.id = kNormal, .rank = 1, .minimum_share = 0.2},
                           {.id = kBatch, .rank = 2, .minimum_share = 0.1}}}) {}

  void Push(std::uint64_t id, const PriorityClassId& priority_class) {
    QueuedCall call;
    call.id = QueuedCallId(id);
    call.priority_class = priority_class;
    call.expected_output = TokenCount(100);
    queue.Push(call);
  }

  std::uint64_t Chosen(const std::vector<RunningCall>& running) {
    return ChoosePreemption(queue, running, options).value_or(QueuedCallId(0)).value();
  }

  EndpointQueue queue;
  PreemptionOptions options;
};

BOOST_FIXTURE_TEST_SUITE(preemption, Fixture)

// Guards against pausing more urgent work than necessary.
BOOST_AUTO_TEST_CASE(pauses_the_least_urgent_stream) {
  Push(1, kUrgent);
  BOOST_TEST(Chosen({Stream(10, kNormal), Stream(11, kBatch), Stream(12, kBatch)}) == 12U);
  BOOST_TEST(Chosen({Stream(10, kUrgent), Stream(11, kNormal)}) == 11U);
  BOOST_TEST(Chosen({Stream(10, kUrgent)}) == 0U);
}

// Guards against pauses on behalf of work that may wait.
BOOST_AUTO_TEST_CASE(only_urgent_work_pauses_others) {
  options.preempting_rank = 0;
  BOOST_TEST(Chosen({Stream(10, kBatch)}) == 0U);
  Push(1, kNormal);
  BOOST_TEST(Chosen({Stream(10, kBatch)}) == 0U);
  BOOST_TEST(CountPausable(queue, kNormal, std::vector{Stream(10, kBatch)}, options) == 0U);
  options.preempting_rank = 1;
  BOOST_TEST(Chosen({Stream(10, kBatch)}) == 10U);
}

// Guards against an admission that counts on streams that preemption would not pause.
BOOST_AUTO_TEST_CASE(counts_the_streams_that_may_be_paused) {
  RunningCall fixed = Stream(13, kBatch);
  fixed.resumable = false;
  const std::vector<RunningCall> running{Stream(10, kNormal), Stream(11, kBatch),
                                         Stream(12, kBatch, 2), fixed};
  BOOST_TEST(CountPausable(queue, kUrgent, running) == 2U);
  BOOST_TEST(CountPausable(queue, kNormal, running) == 1U);
  BOOST_TEST(CountPausable(queue, kBatch, running) == 0U);
}

// Guards against a stream that is paused again and again and never ends.
BOOST_AUTO_TEST_CASE(pauses_of_a_stream_are_bounded) {
  Push(1, kUrgent);
  BOOST_TEST(Chosen({Stream(10, kBatch, 0), Stream(11, kBatch, 1)}) == 10U);
  BOOST_TEST(Chosen({Stream(10, kBatch, 2)}) == 0U);
  RunningCall fixed = Stream(10, kBatch);
  fixed.resumable = false;
  BOOST_TEST(Chosen({fixed}) == 0U);
  RunningCall entitled = Stream(10, kBatch);
  entitled.served_by_minimum_share = true;
  BOOST_TEST(Chosen({entitled}) == 0U);
}

// Guards against pauses of a class in favour of its own calls or of less urgent ones: the slot that
// a pause frees goes to the class that is owed its share.
BOOST_AUTO_TEST_CASE(owed_classes_are_not_paused_for_themselves) {
  Push(1, kUrgent);
  Push(2, kUrgent);
  Push(3, kNormal);
  BOOST_TEST(Chosen({Stream(10, kNormal)}) == 10U);
  queue.Pop(MonotonicTime{});
  BOOST_TEST(queue.BelowMinimumShare(kNormal));
  BOOST_TEST((queue.NextClass() == kNormal));
  BOOST_TEST(Chosen({Stream(10, kNormal)}) == 0U);
  BOOST_TEST(Chosen({Stream(10, kNormal), Stream(11, kBatch)}) == 11U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace acaciaspring
