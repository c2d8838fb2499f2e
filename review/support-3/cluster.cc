#include "review/support-3/cluster.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace review {

Cluster::Cluster(ClusterOptions options, const std::string& record_path)
    : options_(options),
      record_(record_path),
      folder_(MakeFolder()),
      store_({.parts = 12, .retain_s = options.history_s}, record_) {
  for (int i = 0; i < options_.engines; ++i) {
    engines_.push_back(std::make_unique<Server>("engine-" + std::to_string(i), "engines",
                                                options_.events, options_.event_interval, record_));
  }
  for (int i = 0; i < options_.tools; ++i) {
    tools_.push_back(
        std::make_unique<Server>("tool-" + std::to_string(i), "tools", 0, Ms(30), record_));
  }
  const std::string subnet = FreeSubnet();
  for (int i = 0; i < options_.daemons; ++i) {
    daemons_.push_back(
        std::make_unique<Daemon>(DaemonOptions{.index = i,
                                               .ip = subnet + "." + std::to_string(10 + i),
                                               .zone = "z" + std::to_string(i % 3),
                                               .store = store_.AddressFor(i),
                                               .folder = folder_,
                                               .retain_s = options_.history_s}));
  }
  std::cerr << "logs of the daemons: " << folder_ << std::endl;
  WriteManifest();
  std::thread([this] {
    while (true) {
      for (const auto* servers : {&engines_, &tools_}) {
        for (const auto& server : *servers) {
          store_.WriteKey("keyed.servers", server->id(), server->Entry());
        }
      }
      ++entries_written_;
      Sleep(Ms(1200));
    }
  }).detach();
}

void Cluster::WriteManifest() {
  store_.WriteKey("keyed.op", "config", Manifest(++version_, options_.retain_s));
}

void Cluster::WaitForEntries() {
  for (const int before = entries_written_; entries_written_ == before;) {
    Sleep(Ms(2));
  }
}

bool Cluster::Start() {
  for (int i = 0; i < options_.started; ++i) {
    daemon(i).Start();
  }
  for (int i = 0; i < options_.started; ++i) {
    if (!daemon(i).WaitUntilReady(Ms(8000))) {
      record_.Write("daemon " + std::to_string(i) + " does not become ready");
      return false;
    }
  }
  // All machines have started, and the partitions have their owners.
  Sleep(Ms(4000));
  return true;
}

Answer Cluster::Ask(const std::string& address, const Request& request, ConnectionPtr* kept) {
  const Ms sent = Elapsed();
  const Answer answer = Send(address, request, kept);
  std::string program;
  for (const auto& [name, value] : request.headers) {
    if (name == "Acaciaspring-Program-Id") {
      program += " program " + value;
    } else if (name == "Acaciaspring-Previous-Turn") {
      program += " after turn " + value;
    }
  }
  const std::string reason = answer.status >= 400 ? ", " + answer.body.substr(0, 40) : "";
  record_.Write("sent at " + std::to_string(sent.count()) + " ms to " + address + ": " +
                request.method + " " + request.path + " " + request.id + program + ", answered " +
                std::to_string(answer.status) + " " + answer.reason +
                reason.substr(0, reason.find('\n')));
  return answer;
}

void Cluster::WriteRuns() {
  std::vector<Run> runs = RunsOfPath("/");
  std::sort(runs.begin(), runs.end(), [](const Run& a, const Run& b) { return a.at < b.at; });
  for (const Run& run : runs) {
    record_.Write("ran at " + std::to_string(run.at.count()) + " ms: " + run.server + " " +
                  run.path + " " + run.request + " of " + std::to_string(run.body.size()) +
                  " bytes");
  }
}

void Cluster::Stop() {
  for (const auto& daemon : daemons_) {
    daemon->Signal(SIGCONT);
    daemon->Signal(SIGKILL);
  }
  for (const auto& daemon : daemons_) {
    daemon->WaitForExit(Ms(3000));
  }
}

std::size_t Cluster::RunsOf(const std::string& request) const {
  std::size_t runs = 0;
  for (const auto* servers : {&engines_, &tools_}) {
    for (const auto& server : *servers) {
      runs += server->RunsOf(request);
    }
  }
  return runs;
}

std::vector<Run> Cluster::RunsOfPath(const std::string& prefix) const {
  std::vector<Run> runs;
  for (const auto* servers : {&engines_, &tools_}) {
    for (const auto& server : *servers) {
      for (Run& run : server->Runs()) {
        if (run.path.starts_with(prefix)) {
          runs.push_back(std::move(run));
        }
      }
    }
  }
  return runs;
}

std::vector<std::string> Cluster::Addresses() {
  for (const auto& daemon : daemons_) {
    const auto addresses = Lookup(daemon->directory());
    if (!addresses.empty()) {
      return addresses;
    }
  }
  return {};
}

Request MakeTurn(const Turn& turn) {
  Request request{
      .id = NewId(),
      .method = "POST",
      .path = "/turns/a",
      .body = turn.input,
      .headers = {{"Acaciaspring-Program-Id", turn.program},
                  {"Acaciaspring-Session-Id", turn.session},
                  {"Acaciaspring-Program-Deadline-Ms", std::to_string(turn.program_left.count())},
                  {"Acaciaspring-Token-Budget", std::to_string(turn.budget)},
                  {"Acaciaspring-Token-Usage", "1840," + std::to_string(turn.maximum)},
                  {"Acaciaspring-Model", "m"}},
      .deadline = Ms(4000)};
  if (!turn.previous.empty()) {
    request.headers.emplace_back("Acaciaspring-Previous-Turn", turn.previous);
  }
  return request;
}

void Exit(int status) {
  _exit(status);
}

}  // namespace review
