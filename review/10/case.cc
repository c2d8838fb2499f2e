// The owner of a program is lost twice while the store cannot record what it hands out.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "review/support-2/harness.h"

namespace acaciaspring::review {
namespace {

constexpr std::uint32_t kPrograms = 12;
constexpr std::uint32_t kMostEvents = 14;
constexpr std::uint64_t kMost = kMostEvents * kStride;
constexpr std::uint64_t kBudget = 8 * kMost;
constexpr int kLosses = 2;

struct Program {
  std::string id;
  std::string previous = {};
  std::uint32_t turns = 0;
  int failures = 0;
  bool spent = false;
  bool open = false;
};

class Case {
 public:
  explicit Case(Site& site) : site_(site) {}
  int Run();

 private:
  Daemon& NextDaemon() { return site_.daemon(next_++ % site_.daemons().size()); }
  void Send(Program& program, const std::function<void(const TurnResult&)>& on_done);
  void Continue(Program& program);

  Site& site_;
  std::size_t next_ = 0;
  std::vector<net::Timer> timers_;
};

void Case::Send(Program& program, const std::function<void(const TurnResult&)>& on_done) {
  const Turn turn{.id = site_.NextId(),
                  .program = program.id,
                  .session = program.id,
                  .previous = program.previous,
                  .budget = kBudget,
                  .max_tokens = kMost,
                  .events = kMostEvents,
                  .text = "turn " + std::to_string(program.turns)};
  program.open = true;
  site_.Send(NextDaemon(), turn, [&program, on_done, id = turn.id](const TurnResult& result) {
    program.open = false;
    if (result.whole) {
      program.previous = id;
      ++program.turns;
    }
    on_done(result);
  });
}

void Case::Continue(Program& program) {
  Send(program, [this, &program](const TurnResult& result) {
    if (result.status == 402) {
      program.spent = true;
    } else if (result.whole) {
      Continue(program);
    } else if (++program.failures < 10) {
      timers_.push_back(site_.loop().After(std::chrono::milliseconds(300),
                                           [this, &program] { Continue(program); }));
    }
  });
}

int Case::Run() {
  for (const auto& daemon : site_.daemons()) {
    daemon->SetRestartDelay(std::chrono::milliseconds(300));
  }
  if (!site_.StartAll()) {
    std::cout << "the daemons do not become ready\n";
    return 2;
  }
  std::vector<Program> programs;
  for (std::uint32_t i = 0; i < kPrograms; ++i) {
    programs.push_back({.id = site_.NextId() + "p"});
  }
  for (int loss = 0; Trouble() && loss < kLosses; ++loss) {
    site_.journal().Write("trouble  the store answers 503 to all calls");
    for (const auto& daemon : site_.daemons()) {
      daemon->store_front().SetTurnsAway(true);
    }
    // The same turn again: it has not been answered whole.
    for (Program& program : programs) {
      Send(program, [](const TurnResult&) {});
    }
    site_.RunFor(std::chrono::milliseconds(900));
    site_.journal().Write("trouble  SIGKILL to all machines");
    for (const auto& daemon : site_.daemons()) {
      daemon->Signal(SIGKILL);
    }
    site_.RunFor(std::chrono::milliseconds(2600));
    site_.journal().Write("calm     the store serves again");
    for (const auto& daemon : site_.daemons()) {
      daemon->store_front().SetTurnsAway(false);
    }
    site_.RunFor(std::chrono::seconds(12));
  }
  for (Program& program : programs) {
    Continue(program);
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
  for (const Program& program : programs) {
    const std::uint64_t tokens = site_.EventsOf(program.id) * kStride;
    const bool over = tokens > kBudget + kMost;
    broken += over ? 1 : 0;
    site_.journal().Write("program  " + program.id + ": " + std::to_string(tokens) +
                          " tokens handed out, budget " + std::to_string(kBudget) +
                          ", most of one turn " + std::to_string(kMost) + (over ? ": BROKEN" : ""));
  }
  std::cout << broken << " of " << kPrograms << " programs got more than budget + one turn\n";
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
