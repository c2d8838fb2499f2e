// Two rolling restarts of all daemons, one daemon at a time, while programs pause between two
// turns. Their turns are younger than the time for which their route keeps them.
#include <csignal>
#include <iostream>

#include "review/support-3/cluster.h"

using namespace review;

namespace {

constexpr int kPrograms = 24;
constexpr int kDaemons = 3;
// Two rolling restarts.
constexpr int kRestarts = 2 * kDaemons;
constexpr Ms kGap{5000};
constexpr double kHistorySeconds = 20;
constexpr int kRetainSeconds = 60;

struct Kept {
  std::string program;
  std::string turn;
  std::string input;
  std::string expected;
  Ms ended{0};
};

}  // namespace

int main(int, char** arguments) {
  Cluster cluster({.daemons = kDaemons,
                   .started = kDaemons,
                   .history_s = kHistorySeconds,
                   .retain_s = kRetainSeconds},
                  arguments[1]);
  Record& record = cluster.record();
  int broken = 0;
  int held = 0;
  int unserved = 0;
  int status = 2;
  {
    if (!cluster.Start()) {
      cluster.Stop();
      Exit(2);
    }
    std::vector<Kept> kept;
    for (int i = 0; i < kPrograms; ++i) {
      Turn turn{.program = NewId(),
                .session = NewId(),
                .previous = {},
                .input = "question " + NewId() + "\n"};
      const Request request = MakeTurn(turn);
      const Answer answer = cluster.Ask(cluster.daemon(i % kDaemons).front(), request);
      if (answer.status == 200 && answer.complete) {
        kept.push_back({.program = turn.program,
                        .turn = request.id,
                        .input = turn.input,
                        .expected = turn.input + cluster.engines().front()->OutputOf(request.id),
                        .ended = Elapsed()});
      }
    }
    if (kept.size() < kPrograms) {
      record.Write("a first turn failed before any disruption");
      cluster.Stop();
      Exit(2);
    }
    const Ms begin = Elapsed();
    for (int i = 0; i < kRestarts; ++i) {
      if (TroubleWanted()) {
        Daemon& daemon = cluster.daemon(i % kDaemons);
        record.Write("SIGTERM " + daemon.name());
        daemon.Signal(SIGTERM);
        if (!daemon.WaitForExit(Ms(8000))) {
          record.Write(daemon.name() + " still runs after grace_s");
          daemon.Signal(SIGKILL);
          daemon.WaitForExit(Ms(1000));
        }
        record.Write(daemon.name() + " has ended and is started again");
        daemon.Start();
        daemon.WaitUntilReady(Ms(5000));
      }
      SleepUntil(begin + kGap * (i + 1));
    }
    // The last restart is over for longer than stable_ms.
    Sleep(Ms(4000));
    for (const Kept& turn : kept) {
      for (int attempt = 0; attempt < 3; ++attempt) {
        Turn next{.program = turn.program,
                  .session = NewId(),
                  .previous = turn.turn,
                  .input = "and then?\n"};
        const Request request = MakeTurn(next);
        const Answer answer = cluster.Ask(cluster.daemon(attempt).front(), request);
        const auto age = (Elapsed() - turn.ended).count();
        if (answer.status == 404 && age < 1000 * kRetainSeconds) {
          ++broken;
          break;
        }
        if (answer.status == 200) {
          ++held;
          break;
        }
        if (attempt == 2) {
          ++unserved;
        }
        Sleep(Ms(300));
      }
    }
    cluster.WriteRuns();
    record.Write("LOST: " + std::to_string(broken) + " turns answered 404 within retain_s, " +
                 std::to_string(held) + " continued, " + std::to_string(unserved) + " not served");
    status = broken > 0 ? 1 : held == kPrograms ? 0 : 2;
    cluster.Stop();
  }
  std::cout << "broken " << broken << ", held " << held << ", not served " << unserved << "\n";
  std::cout.flush();
  Exit(status);
}
