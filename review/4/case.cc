// Kills all daemons during two outages of the store and counts the tokens that one program gets.
#include <csignal>

#include "review/support/stand_ins.h"

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kTurnTokens = std::uint64_t{kMaxEvents} * kTokensPerEvent;
constexpr std::uint64_t kBudget = 3 * kTurnTokens;
constexpr int kOutages = 2;
constexpr int kSpent = 402;

void RestartAll(Deployment& deployment) {
  for (const auto& daemon : deployment.daemons()) {
    daemon->Signal(SIGKILL);
  }
  deployment.Sleep(2s);
  for (const auto& daemon : deployment.daemons()) {
    daemon->Start();
  }
}

}  // namespace

int main(int, char** argv) {
  const bool trouble = TroubleWanted();
  Deployment deployment(argv[1], {.retention = 20s}, 3);
  for (int i = 0; i < 3; ++i) {
    deployment.AddServer(
        {.id = "engine-" + std::to_string(i), .service = "engines", .streams = true});
  }
  if (!deployment.StartAll()) {
    return kCouldNotRun;
  }
  std::uint64_t tokens = 0;
  const auto run_turn = [&] {
    const TurnAnswer answer = deployment.Run({.id = deployment.NewId(),
                                              .path = "/thread/1",
                                              .program = "program-1",
                                              .budget = kBudget,
                                              .input = "turn;"},
                                             *deployment.daemons().front());
    tokens += answer.tokens();
    return answer;
  };
  for (int i = 0; i < kOutages; ++i) {
    if (trouble) {
      deployment.store().SetDown(true);
    }
    run_turn();
    if (trouble) {
      RestartAll(deployment);
      deployment.store().SetDown(false);
      deployment.Sleep(4s);
      if (!deployment.WaitUntilServing(15s)) {
        return kCouldNotRun;
      }
    }
  }
  bool spent = false;
  for (int i = 0; i < 30 && !spent; ++i) {
    spent = run_turn().status == kSpent;
    deployment.Sleep(100ms);
  }
  deployment.record().Write("program-1 got " + std::to_string(tokens) + " tokens; its budget is " +
                            std::to_string(kBudget) + ", and " + std::to_string(kTurnTokens) +
                            " for one turn more");
  return tokens > kBudget + kTurnTokens ? kBroken : kHeld;
}
