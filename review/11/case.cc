// A final fault kills all daemons. New programs then continue a conversation from before it, whose
// turns together are longer than 8 MiB. Each turn is within max_body_bytes.
#include <csignal>
#include <iostream>

#include "review/support-3/cluster.h"

using namespace review;

namespace {

constexpr int kTurns = 3;
constexpr std::size_t kInputBytes = 3'500'000;
constexpr int kContinuations = 8;
// One retry of the client for each of three sends of the turn.
constexpr int kTries = 6;
constexpr Ms kRecover{12'000};

/// @brief A program whose turns belong to the daemon `owner`.
std::string ProgramOwnedBy(Cluster& cluster, const std::string& owner) {
  for (int i = 0; i < 60; ++i) {
    Turn turn{.program = NewId(), .session = NewId(), .previous = {}, .input = "hello\n"};
    if (cluster.Ask(cluster.daemon(0).front(), MakeTurn(turn)).status == 200 &&
        cluster.store().OwnerOfRecord(turn.program) == owner) {
      return turn.program;
    }
  }
  return "";
}

}  // namespace

int main(int, char** arguments) {
  Cluster cluster({.daemons = 3, .started = 3, .events = 6, .event_interval = Ms(5)}, arguments[1]);
  Record& record = cluster.record();
  const auto fail = [&](const std::string& why) {
    record.Write("the case cannot run: " + why);
    std::cout << why << std::endl;
    cluster.Stop();
    Exit(2);
  };
  if (!cluster.Start()) {
    fail("a daemon does not start");
  }
  // The conversation.
  const std::string program = NewId();
  const std::string session = NewId();
  std::string previous;
  std::string chain;
  for (int i = 0; i < kTurns; ++i) {
    Turn turn{.program = program,
              .session = session,
              .previous = previous,
              .input = std::string(kInputBytes, static_cast<char>('a' + i)) + "\n"};
    const Request request = MakeTurn(turn);
    const Answer answer = cluster.Ask(cluster.daemon(0).front(), request);
    if (answer.status != 200 || !answer.complete) {
      fail("a turn of the conversation was not answered whole");
    }
    previous = request.id;
    chain += turn.input + cluster.engines().front()->OutputOf(request.id);
  }
  // Programs whose partitions the same daemon holds as that of the conversation.
  const std::string owner = cluster.store().OwnerOfRecord(program);
  std::vector<std::string> programs;
  for (int i = 0; i < kContinuations; ++i) {
    programs.push_back(ProgramOwnedBy(cluster, owner));
    if (programs.back().empty()) {
      fail("no program found at " + owner);
    }
  }
  record.Write("the conversation and " + std::to_string(programs.size()) + " programs belong to " +
               owner);
  cluster.WriteManifest();
  const Ms fault = Elapsed();
  if (TroubleWanted()) {
    record.Write("a manifest is acknowledged, all daemons are killed");
    cluster.Stop();
    Sleep(Ms(1000));
    for (int i = 0; i < cluster.size(); ++i) {
      cluster.daemon(i).Start();
    }
    for (int i = 0; i < cluster.size(); ++i) {
      if (!cluster.daemon(i).WaitUntilReady(Ms(8000))) {
        fail("a daemon does not become ready after the fault");
      }
    }
    record.Write("all daemons are ready again");
  }
  // Ends by recover_s.
  SleepUntil(fault + kRecover - Ms(6500));
  std::atomic<int> reached{0};
  std::atomic<int> lost{0};
  std::atomic<int> first_turns{0};
  std::atomic<int> first_served{0};
  std::vector<std::thread> clients;
  for (const std::string& continuing : programs) {
    clients.emplace_back([&, continuing] {
      bool runs = false;
      std::string statuses;
      for (int attempt = 0; attempt < kTries && !runs; ++attempt) {
        const std::string address = cluster.daemon(attempt % cluster.size()).front();
        Turn first{.program = NewId(), .session = NewId(), .previous = {}, .input = "hello\n"};
        ++first_turns;
        first_served += cluster.Ask(address, MakeTurn(first)).status == 200;
        Turn turn{.program = continuing,
                  .session = session,
                  .previous = previous,
                  .input = "and then?\n"};
        const Request request = MakeTurn(turn);
        const Answer answer = cluster.Ask(address, request);
        runs = cluster.RunsOf(request.id) > 0;
        statuses +=
            " " + std::to_string(answer.status) + "/" + std::to_string(answer.took.count()) + "ms";
        if (!runs) {
          Sleep(Ms(100));
        }
      }
      record.Write("program " + continuing + " continues " + previous + ":" + statuses +
                   (runs ? ", reached a server" : ", reached no server"));
      (runs ? reached : lost) += 1;
    });
    // Spreads the load of the long prompts.
    Sleep(Ms(100));
  }
  for (std::thread& client : clients) {
    client.join();
  }
  cluster.WriteRuns();
  record.Write("LOST: " + std::to_string(lost) + " continued turns reached no server in " +
               std::to_string(kTries) + " tries, " + std::to_string(reached) +
               " did; first turns: " + std::to_string(first_served) + " of " +
               std::to_string(first_turns) + " served");
  std::cout << "lost " << lost << ", reached " << reached << ", first turns " << first_served << "/"
            << first_turns << std::endl;
  cluster.Stop();
  const bool first_turns_served = first_served * 10 >= first_turns * 9;
  Exit(!first_turns_served ? 2 : lost > 0 ? 1 : 0);
}
