// Sub-agents run in parallel at the owner of their program while the store turns that owner away.
#include <cstdlib>
#include <iostream>

#include "review/support-2/harness.h"

namespace acaciaspring::review {
namespace {

constexpr std::uint32_t kPrograms = 24;
// The site file: at most 4 sub-agents side by side.
constexpr std::uint32_t kSubAgents = 4;
constexpr std::uint32_t kMostEvents = 32;
constexpr std::uint32_t kFirstEvents = 20;
constexpr std::uint32_t kShortEvents = 6;
constexpr Duration kBetweenSubAgents = std::chrono::milliseconds(10);
constexpr std::uint64_t kMost = kMostEvents * kStride;
constexpr std::uint64_t kBudget = 5920;

struct Program {
  std::string id;
  std::string parent = {};
  std::uint32_t open = 0;
  std::uint32_t failures = 0;
  bool spent = false;
};

class Case {
 public:
  explicit Case(Site& site) : site_(site) {}
  int Run();

 private:
  Daemon& NextDaemon() { return site_.daemon(next_++ % site_.daemons().size()); }
  Turn MakeTurn(const Program& program, std::uint32_t events, const std::string& text) {
    return {.id = site_.NextId(),
            .program = program.id,
            .session = program.id + "-" + std::to_string(++sessions_),
            .previous = program.parent,
            .budget = kBudget,
            .max_tokens = kMost,
            .events = events,
            .text = text};
  }
  /// @brief The program's first turn; its sub-agents follow.
  void Start(Program& program);
  void StartSubAgents(Program& program);
  /// @brief Full turns, one after another, until the budget is spent.
  void Continue(Program& program);

  Site& site_;
  std::size_t next_ = 0;
  std::uint64_t sessions_ = 0;
  std::vector<net::Timer> timers_;
};

void Case::Start(Program& program) {
  const Turn turn = MakeTurn(program, kFirstEvents, "first turn");
  site_.Send(NextDaemon(), turn, [this, &program, id = turn.id](const TurnResult& result) {
    if (!result.whole) {
      if (++program.failures < 4) {
        Start(program);
      }
      return;
    }
    program.parent = id;
    StartSubAgents(program);
  });
}

void Case::StartSubAgents(Program& program) {
  program.open = kSubAgents;
  for (std::uint32_t i = 0; i < kSubAgents; ++i) {
    timers_.push_back(site_.loop().After(i * kBetweenSubAgents, [this, &program, i] {
      // The first one has little to say.
      site_.Send(
          NextDaemon(),
          MakeTurn(program, i == 0 ? kShortEvents : kMostEvents, "sub-agent " + std::to_string(i)),
          [this, &program](const TurnResult&) {
            if (--program.open == 0) {
              Continue(program);
            }
          });
    }));
  }
}

void Case::Continue(Program& program) {
  site_.Send(NextDaemon(), MakeTurn(program, kMostEvents, "a further turn"),
             [this, &program](const TurnResult& result) {
               if (result.status == 402) {
                 program.spent = true;
               } else if (result.whole || ++program.failures < 20) {
                 Continue(program);
               }
             });
}

int Case::Run() {
  if (!site_.StartAll()) {
    std::cout << "the daemons do not become ready\n";
    return 2;
  }
  std::vector<Program> programs;
  for (std::uint32_t i = 0; i < kPrograms; ++i) {
    programs.push_back({.id = site_.NextId() + "p"});
  }
  Daemon& refused = site_.daemon(0);
  if (Trouble()) {
    site_.journal().Write("trouble  the store turns " + refused.name() + " away (503) for 9 s");
    refused.store_front().SetTurnsAway(true);
  }
  const net::Timer end = site_.loop().After(std::chrono::seconds(9), [&] {
    refused.store_front().SetTurnsAway(false);
    site_.journal().Write("calm     the store serves " + refused.name());
  });
  for (Program& program : programs) {
    Start(program);
  }
  const bool ended = site_.RunUntil(
      [&] {
        for (const Program& program : programs) {
          if (!program.spent) {
            return false;
          }
        }
        return true;
      },
      std::chrono::seconds(40));
  int broken = 0;
  int unspent = 0;
  for (const Program& program : programs) {
    const std::uint64_t tokens = site_.EventsOf(program.id) * kStride;
    const bool over = tokens > kBudget + kMost;
    broken += over ? 1 : 0;
    unspent += program.spent ? 0 : 1;
    site_.journal().Write("program  " + program.id + ": " + std::to_string(tokens) +
                          " tokens handed out, budget " + std::to_string(kBudget) +
                          ", most of one turn " + std::to_string(kMost) + (over ? ": BROKEN" : ""));
  }
  for (const auto& daemon : site_.daemons()) {
    if (daemon->ended_by_itself()) {
      site_.journal().Write("process  " + daemon->name() + " ended by itself");
    }
  }
  std::cout << broken << " of " << kPrograms << " programs got more than budget + one turn; "
            << unspent << " did not spend their budget\n";
  if (broken > 0) {
    return 1;
  }
  return ended ? 0 : 2;
}

}  // namespace
}  // namespace acaciaspring::review

int main(int, char** argv) {
  acaciaspring::review::Site site(argv[1], {.daemons = 3, .engines = 4});
  return acaciaspring::review::Case(site).Run();
}
