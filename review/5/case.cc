// Two callers send turns whose input is near the largest body that the manifest allows. The
// stand-in of the platform kills a daemon that exceeds its memory and starts it again.
#include <unistd.h>

#include <csignal>
#include <cstdio>

#include "review/support/stand_ins.h"

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLargeInput = 4'100'000;  // the manifest allows 4,194,304
constexpr std::size_t kSmallInput = 1'900'000;  // fits into one call of the store
constexpr std::uint64_t kMemoryLimitMb = 220;
constexpr int kRounds = 7;
constexpr std::size_t kCallers = 2;
// A turn that fails is sent again at most twice.
constexpr int kTries = 3;
constexpr std::uint32_t kMaxEnds = 3;

/// @brief Resident memory of a process.
std::uint64_t ResidentMb(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  file >> size >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) >> 20U;
}

}  // namespace

int main(int, char** argv) {
  const std::size_t input_bytes = TroubleWanted() ? kLargeInput : kSmallInput;
  Deployment deployment(argv[1], {}, 3);
  for (int i = 0; i < 3; ++i) {
    deployment.AddServer(
        {.id = "engine-" + std::to_string(i), .service = "engines", .streams = true, .events = 8});
  }
  if (!deployment.StartAll()) {
    return kCouldNotRun;
  }
  auto& daemons = deployment.daemons();
  std::vector<std::uint32_t> ends(daemons.size());
  std::vector<std::uint64_t> peaks(daemons.size());
  const net::Timer platform = deployment.loop().Every(50ms, [&] {
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      if (!daemons[i]->running()) {
        daemons[i]->Start();
        continue;
      }
      const std::uint64_t resident = ResidentMb(daemons[i]->pid());
      peaks[i] = std::max(peaks[i], resident);
      if (resident > kMemoryLimitMb) {
        ++ends[i];
        deployment.record().Write("platform: daemon front-" + std::to_string(i) + " uses " +
                                  std::to_string(resident) + " MB, the limit is " +
                                  std::to_string(kMemoryLimitMb) + " MB");
        daemons[i]->Signal(SIGKILL);
      }
    }
  });
  int whole = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::array<std::shared_ptr<TurnAnswer>, kCallers> answers;
    for (int i = 0; i < kTries; ++i) {
      for (std::size_t caller = 0; caller < kCallers; ++caller) {
        if (answers[caller] == nullptr || !answers[caller]->whole) {
          answers[caller] = deployment.Send(
              {.id = deployment.NewId(),
               .program = "program-" + std::to_string(round) + "-" + std::to_string(caller),
               .input = std::string(input_bytes, 'x')},
              *daemons[(static_cast<std::size_t>(i) + caller) % daemons.size()]);
        }
      }
      deployment.Wait(
          [&] {
            return std::all_of(answers.begin(), answers.end(),
                               [](const auto& answer) { return answer->done; });
          },
          6s);
      deployment.Sleep(300ms);
    }
    for (const auto& answer : answers) {
      whole += answer->whole ? 1 : 0;
    }
  }
  std::uint32_t often = 0;
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    often += ends[i] >= kMaxEnds ? 1 : 0;
    deployment.record().Write("daemon front-" + std::to_string(i) + ": memory at its peak " +
                              std::to_string(peaks[i]) + " MB, ended " + std::to_string(ends[i]) +
                              " times over the limit");
  }
  deployment.record().Write(std::to_string(kRounds * kCallers) + " programs sent a turn of " +
                            std::to_string(input_bytes) + " bytes, " + std::to_string(whole) +
                            " were answered whole");
  return often >= 2 ? kBroken : kHeld;
}
