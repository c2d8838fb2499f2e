// Three times: answers turns of new programs for 21 seconds, kills all daemons, starts them again
// after two seconds and continues from every turn that was answered whole.
#include <csignal>

#include "review/support/stand_ins.h"

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int kRounds = 3;
constexpr int kTurnsPerRound = 140;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kMaxTries = 4;

struct Conversation {
  std::string id;
  std::shared_ptr<TurnAnswer> answer;
  std::shared_ptr<TurnAnswer> next = nullptr;
};

}  // namespace

int main(int, char** argv) {
  const bool trouble = TroubleWanted();
  Deployment deployment(argv[1], {.retention = 20s}, 3);
  for (int i = 0; i < 3; ++i) {
    deployment.AddServer({.id = "engine-" + std::to_string(i),
                          .service = "engines",
                          .streams = true,
                          .events = 8});
  }
  if (!deployment.StartAll()) {
    return kCouldNotRun;
  }
  auto& daemons = deployment.daemons();
  int whole = 0;
  int lost = 0;
  int continued = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<Conversation> conversations;
    for (int i = 0; i < kTurnsPerRound; ++i) {
      const std::string id = deployment.NewId();
      const TurnRequest first{.id = id, .program = "program-" + id, .input = "note " + id + ";"};
      conversations.push_back({.id = id, .answer = deployment.Send(first, *daemons[i % 3])});
      deployment.Sleep(150ms);
    }
    if (trouble) {
      for (const auto& daemon : daemons) {
        daemon->Signal(SIGKILL);
      }
      deployment.Sleep(2s);
      for (const auto& daemon : daemons) {
        daemon->Start();
      }
    }
    deployment.Sleep(2s);
    if (!deployment.WaitUntilServing(10s)) {
      return kCouldNotRun;
    }
    for (int tries = 0; tries < kMaxTries; ++tries) {
      std::size_t index = 0;
      for (Conversation& conversation : conversations) {
        const bool settled = conversation.next != nullptr &&
                             (conversation.next->whole || conversation.next->status == kNotFound ||
                              conversation.next->status == kGone);
        if (conversation.answer->whole && !settled) {
          conversation.next = deployment.Send({.id = deployment.NewId(),
                                               .program = "program-" + conversation.id,
                                               .previous_turn = conversation.id,
                                               .input = "next;"},
                                              *daemons[index++ % 3]);
          deployment.Sleep(5ms);
        }
      }
      deployment.Wait(
          [&] {
            return std::all_of(conversations.begin(), conversations.end(), [](const auto& each) {
              return each.next == nullptr || each.next->done;
            });
          },
          5s);
    }
    for (const Conversation& conversation : conversations) {
      whole += conversation.answer->whole ? 1 : 0;
      if (conversation.next == nullptr) {
        continue;
      }
      const int status = conversation.next->status;
      continued += conversation.next->whole ? 1 : 0;
      if (status == kNotFound || status == kGone) {
        ++lost;
        deployment.record().Write("LOST: turn " + conversation.id +
                                  " was answered whole, its continuation got " +
                                  std::to_string(status));
      }
    }
  }
  deployment.record().Write(std::to_string(whole) + " turns were answered whole, " +
                            std::to_string(continued) + " were continued, " + std::to_string(lost) +
                            " were refused with 404 or 410");
  return lost > 0 ? kBroken : kHeld;
}
