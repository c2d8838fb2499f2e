#include <boost/test/unit_test.hpp>

#include "acaciaspring/routing.h"

namespace acaciaspring {
namespace {

const ServiceId kTool("tool");

PauseContext Context(std::uint64_t used) {
  return {.tool = kTool,
          .cached = TokenCount(20'000),
          .kv_used = TokenCount(used),
          .kv_capacity = TokenCount(1'000'000),
          .prefill_tokens_per_second = 10'000,
          .export_tokens_per_second = 0,
          .import_tokens_per_second = 0};
}

BOOST_AUTO_TEST_SUITE(pause_policy)

// Guards against dropping the KV cache, and so recomputing the prompt, for short tool calls.
BOOST_AUTO_TEST_CASE(keeps_for_short_pauses) {
  PausePolicy policy;
  for (int i = 0; i < 50; ++i) {
    policy.OnPauseEnded(kTool, std::chrono::milliseconds(300));
  }
  const PauseDecision decision = policy.Decide(Context(950'000));
  BOOST_TEST((decision.action == PauseAction::kKeep));
  BOOST_TEST((decision.release_after >= std::chrono::milliseconds(300)));
  BOOST_TEST((decision.release_after <= std::chrono::milliseconds(600)));
}

// Guards against keeping the KV cache during tool calls of many minutes while memory is scarce.
BOOST_AUTO_TEST_CASE(drops_or_exports_for_long_pauses_under_pressure) {
  PausePolicy policy;
  for (int i = 0; i < 50; ++i) {
    policy.OnPauseEnded(kTool, std::chrono::minutes(20));
  }
  PauseContext context = Context(1'000'000);
  BOOST_TEST((policy.Decide(context).action == PauseAction::kDrop));
  context.export_tokens_per_second = 100'000;
  context.import_tokens_per_second = 100'000;
  BOOST_TEST((policy.Decide(context).action == PauseAction::kExport));
  context.kv_used = TokenCount(100'000);
  BOOST_TEST((policy.Decide(context).action == PauseAction::kKeep));
}

// Guards against keeping the KV cache for the whole of a rare, very long call of a usually fast
// tool.
BOOST_AUTO_TEST_CASE(releases_the_hold_of_an_unusually_long_pause) {
  PausePolicy policy;
  for (int i = 0; i < 200; ++i) {
    policy.OnPauseEnded(kTool, i % 10 == 0 ? Duration(std::chrono::hours(1))
                                           : Duration(std::chrono::milliseconds(300)));
  }
  const PauseDecision decision = policy.Decide(Context(1'000'000));
  BOOST_TEST((decision.action == PauseAction::kKeep));
  BOOST_TEST((decision.release_after <= std::chrono::seconds(2)));
}

// Guards against a mean that does not follow a lasting change in the pauses of a service.
BOOST_AUTO_TEST_CASE(discounts_old_samples) {
  PausePolicy policy;
  BOOST_TEST((policy.ExpectedPause(kTool) == std::chrono::seconds(5)));
  for (int i = 0; i < 200; ++i) {
    policy.OnPauseEnded(kTool, std::chrono::seconds(100));
  }
  for (int i = 0; i < 200; ++i) {
    policy.OnPauseEnded(kTool, std::chrono::seconds(1));
  }
  BOOST_TEST((policy.ExpectedPause(kTool) < std::chrono::seconds(4)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace acaciaspring
