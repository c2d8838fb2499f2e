// Crashes the model servers of one zone while each streams an answer to a program's second turn,
// and starts new ones. The second turns of all programs begin with the same text.
#include <set>

#include "review/support/stand_ins.h"

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kCrashingZone = "z0";
constexpr int kServersPerZone = 4;
constexpr int kPrograms = 40;
constexpr int kProgramsAfterwards = 10;
// A turn is tried twice, and sent again from its start twice.
constexpr int kTriesPerTurn = 2;
constexpr int kTries = 3 * kTriesPerTurn;
constexpr Duration kTurnDeadline = 4s;

// The instruction with which each further turn of the agents begins.
std::string NextInput(const std::string& program) {
  std::string text = "These are the results of the tools that you have called. ";
  while (text.size() < 600) {
    text += "Check them against the manual of the mill before you answer the supervisor. ";
  }
  return text + program + ";";
}

struct Program {
  std::string id;
  std::string first_turn;
  std::string server = {};
};

}  // namespace

int main(int, char** argv) {
  const bool trouble = TroubleWanted();
  Deployment deployment(argv[1], {}, 3);
  const auto add_server = [&](const std::string& zone, const std::string& name) -> Server& {
    return deployment.AddServer({.id = "engine-" + zone + "-" + name,
                                 .service = "engines",
                                 .streams = true,
                                 .zone = zone,
                                 .events = 14,
                                 .event_interval = 40ms});
  };
  std::vector<Server*> crashing;
  for (int i = 0; i < 3 * kServersPerZone; ++i) {
    const std::string zone = "z" + std::to_string(i % 3);
    Server& server = add_server(zone, std::to_string(i));
    if (zone == kCrashingZone) {
      crashing.push_back(&server);
    }
  }
  if (!deployment.StartAll()) {
    return kCouldNotRun;
  }
  auto& daemons = deployment.daemons();
  const auto send = [&](const std::string& program, const std::string& previous,
                        const std::string& id, std::size_t daemon) {
    return deployment.Send(
        {.id = id,
         .program = program,
         .previous_turn = previous,
         .input = previous.empty() ? "Ticket of " + program + ";" : NextInput(program)},
        *daemons[daemon % daemons.size()]);
  };
  // First turns, and one program for each server of the zone that will crash.
  std::vector<Program> programs;
  std::vector<std::shared_ptr<TurnAnswer>> answers;
  for (int i = 0; i < kPrograms; ++i) {
    programs.push_back({.id = "program-" + std::to_string(i), .first_turn = deployment.NewId()});
    answers.push_back(send(programs.back().id, "", programs.back().first_turn, i));
    deployment.Sleep(30ms);
  }
  deployment.Sleep(2s);
  std::vector<const Program*> on_zone;
  std::set<const Server*> used;
  for (std::size_t i = 0; i < programs.size(); ++i) {
    for (const Server* server : crashing) {
      if (answers[i]->whole && server->runs().contains(programs[i].first_turn) &&
          used.insert(server).second) {
        on_zone.push_back(&programs[i]);
      }
    }
  }
  if (on_zone.size() < 3) {
    return kCouldNotRun;
  }
  for (const Program* program : on_zone) {
    send(program->id, program->first_turn, deployment.NewId(), 0);
  }
  deployment.Sleep(200ms);
  if (trouble) {
    for (Server* server : crashing) {
      deployment.Crash(*server);
    }
    deployment.Sleep(4500ms);
    for (int i = 0; i < kServersPerZone; ++i) {
      add_server(std::string(kCrashingZone), "new-" + std::to_string(i));
    }
  }
  // All machines are in touch again, and nothing is disturbed any more.
  deployment.Sleep(10s);
  const auto runs = [&](const std::string& id) {
    return std::any_of(deployment.servers().begin(), deployment.servers().end(),
                       [&](const auto& server) { return server->runs().contains(id); });
  };
  int first_sent = 0;
  int first_whole = 0;
  int next_lost = 0;
  int next_whole = 0;
  for (int i = 0; i < kProgramsAfterwards; ++i) {
    const std::string program = "later-program-" + std::to_string(i);
    const std::string first = deployment.NewId();
    const auto first_answer = send(program, "", first, i);
    deployment.Wait([&] { return first_answer->done; }, 5s);
    ++first_sent;
    if (!first_answer->whole) {
      continue;
    }
    ++first_whole;
    bool reached = false;
    bool whole = false;
    for (int tries = 1; tries <= kTries && !whole; ++tries) {
      const MonotonicTime sent_at = deployment.loop().Now();
      const std::string id = deployment.NewId();
      const auto next = send(program, first, id, i + tries);
      deployment.Wait([&] { return next->done; }, 5s);
      whole = next->whole;
      reached = reached || runs(id);
      // Callers honour Retry-After up to a third of the time that they have left.
      const Duration left = kTurnDeadline - (deployment.loop().Now() - sent_at);
      deployment.Sleep(tries % kTriesPerTurn == 0 ? Duration(250ms)
                                                  : std::min(next->retry_after, left / 3));
    }
    next_whole += whole ? 1 : 0;
    if (!reached) {
      ++next_lost;
      deployment.record().Write("LOST: the first turn of " + program +
                                " was answered whole, its next turn reached no server in " +
                                std::to_string(kTries) + " tries");
    }
  }
  deployment.record().Write(std::to_string(first_whole) + " of " + std::to_string(first_sent) +
                            " first turns were answered whole; of as many next turns " +
                            std::to_string(next_whole) + " were answered whole and " +
                            std::to_string(next_lost) + " reached no server");
  const bool first_turns_are_served = first_whole * 10 >= first_sent * 9;
  return next_lost > 0 && first_turns_are_served ? kBroken : kHeld;
}
