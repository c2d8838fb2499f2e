#ifndef REVIEW_SUPPORT_STAND_INS_H_
#define REVIEW_SUPPORT_STAND_INS_H_

#include <uv.h>

#include <array>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "acaciaspring/net.h"
#include "fakes/store_model.h"

namespace review {

using acaciaspring::Duration;
using acaciaspring::MonotonicTime;
namespace net = acaciaspring::net;

inline constexpr std::uint32_t kTokensPerEvent = 18;
/// Largest output of a turn that the stand-in callers announce, in events.
inline constexpr std::uint32_t kMaxEvents = 32;

/// @brief Writes what was sent, answered and run, with the time since the start.
class Record {
 public:
  Record(net::Loop& loop, const std::string& path);
  void Write(const std::string& line);

 private:
  net::Loop& loop_;
  MonotonicTime started_at_;
  std::ofstream file_;
};

struct StoreOptions {
  std::uint32_t partitions_per_topic = 12;
  std::size_t record_bytes = std::size_t{256} << 10;
  std::size_t call_bytes = std::size_t{2} << 20;
  Duration retention = std::chrono::seconds(300);
  /// Time until a call is answered.
  Duration answer_delay = std::chrono::milliseconds(4);
};

/// @brief Stand-in of the platform's store: logs with retention and size limits, keyed topics and
/// one consumer group for each name. All calls are answered with 503 while it is down.
class Store {
 public:
  Store(net::Loop& loop, Record& record, StoreOptions options);
  net::Address address() const { return server_->address(); }
  const StoreOptions& options() const { return options_; }
  void SetDown(bool down);
  /// @brief Writes a key as the operator or a server does.
  void WriteKey(const std::string& topic, const std::string& key, const std::string& value);

 private:
  struct Partition {
    acaciaspring::fakes::StorePartition log;
    /// End offset after an append, and when it was made.
    std::deque<std::pair<std::uint64_t, MonotonicTime>> ends;
  };
  struct Answer {
    int status = 200;
    std::string body = {};
  };

  Answer Handle(const net::HttpRequest& request);
  Answer Append(const net::HttpRequest& request);
  Answer Read(const net::HttpRequest& request);
  Answer ReadNewest(const net::HttpRequest& request);
  Answer Trim(const net::HttpRequest& request);
  Answer Join(const net::HttpRequest& request);
  Answer Leave(const net::HttpRequest& request);
  Partition& Find(const net::HttpRequest& request);
  void Expire(Partition& partition);
  void RememberKeys(const std::string& topic,
                    std::uint64_t offset,
                    const std::vector<std::string>& records);

  /// @brief Records the appends of turns whose input is "note " and an id.
  void LogNotes(const std::vector<std::string>& records);

  net::Loop& loop_;
  Record& record_;
  StoreOptions options_;
  bool down_ = false;
  std::uint64_t next_timer_ = 0;
  std::map<std::uint64_t, net::Timer> timers_;
  std::map<acaciaspring::fakes::StorePartitionId, Partition> partitions_;
  std::map<std::string, std::map<std::string, std::pair<std::string, std::uint64_t>>> newest_;
  std::map<std::string, acaciaspring::fakes::StoreGroup> groups_;
  std::unique_ptr<net::HttpServer> server_;
};

struct ServerOptions {
  std::string id = {};
  std::string service = {};
  /// Streams events if set, otherwise answers with one body.
  bool streams = false;
  std::string zone = "z0";
  std::uint32_t events = kMaxEvents;
  Duration event_interval = std::chrono::milliseconds(10);
  std::uint32_t slots = 24;
};

/// @brief Stand-in of a model server or a tool server.
class Server {
 public:
  Server(net::Loop& loop, Record& record, ServerOptions options);
  const std::string& id() const { return options_.id; }
  std::string RegistryEntry();
  /// @brief Ends the process of the server: its listener and all its connections are closed.
  void Crash();
  bool running() const { return server_ != nullptr; }
  /// @brief The bodies of the requests that were run, by request id.
  const std::map<std::string, std::vector<std::string>>& runs() const { return runs_; }

 private:
  void Handle(const net::HttpRequest& request, const net::HttpResponderPtr& responder);
  void SendEvent(const net::HttpResponderPtr& responder,
                 const std::string& id,
                 std::uint32_t index);

  net::Loop& loop_;
  Record& record_;
  ServerOptions options_;
  std::uint64_t sequence_ = 0;
  std::uint64_t next_timer_ = 0;
  std::int64_t born_ms_;
  std::map<std::uint64_t, net::Timer> timers_;
  std::map<std::string, std::vector<std::string>> runs_;
  std::unique_ptr<net::HttpServer> server_;
};

struct DaemonOptions {
  std::string ip = {};
  std::string name = {};
  std::string zone = {};
  std::string directory = {};
};

/// @brief One gateway daemon, started with the command of the deploy file.
class Daemon {
 public:
  Daemon(net::Loop& loop, Record& record, const Store& store, DaemonOptions options);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  void Start();
  void Signal(int signal_number);
  bool running() const { return running_; }
  int pid() const { return process_.pid; }
  /// @brief Times that the process ended without a signal from this object.
  std::uint32_t unexpected_ends() const { return unexpected_ends_; }
  net::Address front() const { return {.ip = options_.ip, .port = 8149}; }
  net::Address directory() const { return {.ip = options_.ip, .port = 8143}; }

 private:
  net::Loop& loop_;
  Record& record_;
  DaemonOptions options_;
  uv_process_t process_{};
  bool running_ = false;
  bool end_expected_ = false;
  std::uint32_t unexpected_ends_ = 0;
};

struct TurnRequest {
  std::string id = {};
  std::string path = "/kept/1";
  std::string program = {};
  std::uint64_t budget = 100'000;
  std::string previous_turn = {};
  std::string input = {};
  /// Time until the program should be finished.
  Duration program_deadline = std::chrono::seconds(12);
};

struct TurnAnswer {
  bool done = false;
  /// 0 if the connection ended without a status.
  int status = 0;
  bool whole = false;
  std::uint32_t events = 0;
  /// Data of the events, each followed by a line feed.
  std::string output = {};
  /// From the Retry-After header.
  Duration retry_after = {};
  std::uint32_t tokens() const { return events * kTokensPerEvent; }
};

struct CallAnswer {
  int status = 0;
  /// The answer is framed as complete.
  bool whole = false;
  net::Headers headers = {};
  std::string body = {};
};

/// @brief A small deployment: a store, servers, daemons and callers.
class Deployment {
 public:
  Deployment(const std::string& record_path, StoreOptions store, std::uint32_t daemons);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  net::Loop& loop() { return loop_; }
  Record& record() { return record_; }
  Store& store() { return store_; }
  std::vector<std::unique_ptr<Daemon>>& daemons() { return daemons_; }
  std::vector<std::unique_ptr<Server>>& servers() { return servers_; }
  Server& AddServer(const ServerOptions& options);
  /// @brief Crashes a server. Its entry disappears after three intervals without a renewal.
  void Crash(Server& server);
  /// @brief Registers a server that the case runs itself.
  void Register(const std::string& id, const std::string& service, const net::Address& address);
  /// @brief Starts all daemons and waits until a first turn is answered whole.
  bool StartAll();
  /// @brief Waits until a new turn is answered whole through each daemon.
  bool WaitUntilServing(Duration limit);
  /// @brief Runs the loop until `done` returns true; false after `limit`.
  bool Wait(const std::function<bool()>& done, Duration limit);
  void Sleep(Duration duration);

  std::shared_ptr<TurnAnswer> Send(const TurnRequest& request, const Daemon& daemon);
  /// @brief Sends the turn and waits for the end of its answer.
  TurnAnswer Run(const TurnRequest& request, const Daemon& daemon);
  /// @brief Sends a request that is no turn to /orders/ and waits for the end of its answer.
  CallAnswer Call(const std::string& id, const Daemon& daemon);
  std::string NewId();

 private:
  void WriteManifest();

  net::Loop loop_;
  std::string directory_;
  Record record_;
  Store store_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<std::string, std::function<std::string()>> registry_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  net::Timer registration_;
  std::list<net::Timer> removals_;
  net::HttpClient client_;
  std::list<std::shared_ptr<net::HttpCall>> calls_;
  std::uint64_t next_id_ = 0;
  std::uint64_t random_;
};

/// @brief The registry entry of a ready server.
std::string MakeRegistryEntry(const std::string& service,
                              const net::Address& address,
                              const std::string& zone,
                              std::uint32_t slots,
                              std::int64_t born_ms,
                              std::uint64_t sequence);

/// @brief False if the environment variable TROUBLE is 0.
bool TroubleWanted();

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

}  // namespace review

#endif  // REVIEW_SUPPORT_STAND_INS_H_
