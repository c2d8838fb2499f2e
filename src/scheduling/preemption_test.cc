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

// Guards against pausing a stream while a less urgent one is running.
BOOST_AUTO_TEST_CASE(pauses_the_least_urgent_stream) {
  Push(1, kUrgent);
  BOOST_TEST(Chosen({Stream(10, kNormal), Stream(11, kBatch), Stream(12, kBatch)}) == 12U);
  BOOST_TEST(Chosen({Stream(10, kUrgent), Stream(11, kNormal)}) == 11U);
  BOOST_TEST(Chosen({Stream(10, kUrgent)}) == 0U);
}

// Guards against pausing streams for calls of classes that may not preempt.
BOOST_AUTO_TEST_CASE(only_urgent_work_pauses_others) {
  options.preempting_rank = 0;
  BOOST_TEST(Chosen({Stream(10, kBatch)}) == 0U);
  Push(1, kNormal);
  BOOST_TEST(Chosen({Stream(10, kBatch)}) == 0U);
  BOOST_TEST(CountPausable(queue, kNormal, std::vector{Stream(10, kBatch)}, options) == 0U);
  options.preempting_rank = 1;
  BOOST_TEST(Chosen({Stream(10, kBatch)}) == 10U);
}

// Guards against an admission decision that counts streams that preemption would not pause.
BOOST_AUTO_TEST_CASE(counts_pausable_streams) {
  RunningCall not_resumable = Stream(13, kBatch);
  not_resumable.resumable = false;
  const std::vector<RunningCall> running{Stream(10, kNormal), Stream(11, kBatch),
                                         Stream(12, kBatch, 2), not_resumable};
  BOOST_TEST(CountPausable(queue, kUrgent, running) == 2U);
  BOOST_TEST(CountPausable(queue, kNormal, running) == 1U);
  BOOST_TEST(CountPausable(queue, kBatch, running) == 0U);
}

// Guards against a stream that is paused repeatedly and never finishes, and against pausing streams
// that cannot resume or were served by a minimum share.
BOOST_AUTO_TEST_CASE(bounds_the_pauses_of_a_stream) {
  Push(1, kUrgent);
  BOOST_TEST(Chosen({Stream(10, kBatch, 0), Stream(11, kBatch, 1)}) == 10U);
  BOOST_TEST(Chosen({Stream(10, kBatch, 2)}) == 0U);
  RunningCall not_resumable = Stream(10, kBatch);
  not_resumable.resumable = false;
  BOOST_TEST(Chosen({not_resumable}) == 0U);
  RunningCall by_minimum_share = Stream(10, kBatch);
  by_minimum_share.served_by_minimum_share = true;
  BOOST_TEST(Chosen({by_minimum_share}) == 0U);
}

// Guards against pausing a stream for a call of the same or a less urgent class. This happens if
// the freed slot goes to a class below its minimum share instead of the most urgent class.
BOOST_AUTO_TEST_CASE(does_not_pause_a_class_for_its_own_minimum_share) {
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
