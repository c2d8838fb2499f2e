// Two of sixteen servers drain and leave. Before, the store has answered none of a few writes,
// among them one of "ready" by each of the two, and executes these seconds later: after the servers
// have reported that they drain. Their next entries, with higher sequences, follow as usual.
#include <csignal>
#include <iostream>
#include <random>

#include "review/support-3/cluster.h"

using namespace review;

namespace {

constexpr int kDaemons = 7;
constexpr int kClients = 21;
constexpr int kMinPauseMs = 500;
constexpr int kMaxPauseMs = 1500;
// "done 1 to 6 s later"
constexpr Ms kLate{4600};
// The lost answer is longer ago than stable_ms when the server starts to drain.
constexpr Ms kStable{3100};
constexpr Ms kDrain{2000};

}  // namespace

int main(int, char** arguments) {
  Cluster cluster({.daemons = kDaemons, .started = kDaemons, .engines = 12, .tools = 4},
                  arguments[1]);
  Record& record = cluster.record();
  if (!cluster.Start()) {
    cluster.Stop();
    Exit(2);
  }
  const std::vector<Server*> leaving = {cluster.tools()[0].get(), cluster.tools()[1].get()};
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::atomic<int> failed{0};
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      const std::string address = cluster.daemon(client % kDaemons).front();
      ConnectionPtr channel;
      std::mt19937 random(std::random_device{}());
      std::uniform_int_distribution<int> pause(kMinPauseMs, kMaxPauseMs);
      while (!stop) {
        const Request request{.id = NewId(),
                              .method = "GET",
                              .path = "/reads/a",
                              .body = {},
                              .headers = {},
                              .deadline = Ms(1200)};
        (cluster.Ask(address, request, &channel).status == 200 ? served : failed) += 1;
        Sleep(Ms(pause(random)));
      }
    });
  }
  Sleep(Ms(4000));
  const Ms sent = Elapsed();
  std::map<Server*, std::string> late;
  for (Server* server : leaving) {
    late[server] = server->Entry();
    if (TroubleWanted()) {
      record.Write("a write of " + server->id() + " gets no answer: " + late[server]);
    }
  }
  SleepUntil(sent + kStable);
  for (Server* server : leaving) {
    server->Drain();
    const std::string entry = server->Entry();
    cluster.store().WriteKey("keyed.servers", server->id(), entry);
    record.Write("the store acknowledges: " + entry);
  }
  const Ms acknowledged = Elapsed();
  // 4.6 to 5.8 s after it was sent, just after an entry that says "draining".
  SleepUntil(sent + kLate);
  cluster.WaitForEntries();
  if (TroubleWanted()) {
    for (Server* server : leaving) {
      record.Write("the store executes the write of " + server->id() + " that was not answered");
      cluster.store().WriteKey("keyed.servers", server->id(), late[server]);
    }
  }
  Sleep(Ms(4000));
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  int broken = 0;
  for (const Server* server : leaving) {
    for (const Run& run : server->Runs()) {
      if (run.at > acknowledged + kDrain) {
        ++broken;
        record.Write(server->id() + " runs request " + run.request + " " +
                     std::to_string((run.at - acknowledged).count()) +
                     " ms after the acknowledgement");
      }
    }
  }
  cluster.WriteRuns();
  record.Write("DRAIN: " + std::to_string(broken) +
               " requests reached a server later than drain_ms after it reported that it drains; " +
               std::to_string(served) + " requests served, " + std::to_string(failed) + " not");
  std::cout << "broken " << broken << ", served " << served << ", not served " << failed
            << std::endl;
  cluster.Stop();
  Exit(served == 0 ? 2 : broken > 0 ? 1 : 0);
}
