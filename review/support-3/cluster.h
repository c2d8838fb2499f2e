#ifndef ACACIASPRING_REVIEW_SUPPORT_3_CLUSTER_H_
#define ACACIASPRING_REVIEW_SUPPORT_3_CLUSTER_H_

#include <memory>
#include <string>
#include <vector>

#include "review/support-3/kit.h"

namespace review {

struct ClusterOptions {
  int daemons = 3;
  /// The first `started` daemons run from the beginning.
  int started = 3;
  int engines = 3;
  int tools = 2;
  int events = 14;
  Ms event_interval{8};
  /// History that the store keeps, as the settings say.
  double history_s = 300;
  /// Time for which a route keeps its turns.
  int retain_s = 60;
};

/// @brief The outcome of one turn or call with the attempts that PROTOCOL.md allows its client.
struct Outcome {
  Answer last;
  /// Id of the last attempt.
  std::string request;
  std::vector<int> statuses;
};

/// @brief A small deployment: store, servers, manifest, registry and daemons.
class Cluster {
 public:
  Cluster(ClusterOptions options, const std::string& record_path);

  Record& record() { return record_; }
  Store& store() { return store_; }
  Daemon& daemon(int index) { return *daemons_.at(static_cast<std::size_t>(index)); }
  int size() const { return static_cast<int>(daemons_.size()); }
  const std::vector<std::unique_ptr<Server>>& engines() const { return engines_; }
  const std::vector<std::unique_ptr<Server>>& tools() const { return tools_; }
  std::size_t RunsOf(const std::string& request) const;
  std::vector<Run> RunsOfPath(const std::string& prefix) const;
  /// @brief Starts the daemons of the beginning; false if one does not become ready.
  bool Start();
  void WriteManifest();
  /// @brief Waits until the servers have written their entries once more.
  void WaitForEntries();
  /// @brief Sends a request and records it with its answer.
  Answer Ask(const std::string& address, const Request& request, ConnectionPtr* kept = nullptr);
  /// @brief Records what the servers ran.
  void WriteRuns();
  /// @brief Kills the daemons that still run.
  void Stop();
  /// @brief Addresses of the daemons that clients may use, by the directory of any daemon.
  std::vector<std::string> Addresses();

 private:
  ClusterOptions options_;
  Record record_;
  std::string folder_;
  Store store_;
  std::vector<std::unique_ptr<Server>> engines_;
  std::vector<std::unique_ptr<Server>> tools_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  int version_ = 0;
  std::atomic<int> entries_written_{0};
};

struct Turn {
  std::string program;
  std::string session;
  std::string previous;
  std::string input;
  int budget = 4608;
  int maximum = 576;
  Ms program_left{10'000};
};

Request MakeTurn(const Turn& turn);

/// @brief Ends the program without destroying threads; the daemons must be stopped before.
[[noreturn]] void Exit(int status);

}  // namespace review

#endif  // ACACIASPRING_REVIEW_SUPPORT_3_CLUSTER_H_
