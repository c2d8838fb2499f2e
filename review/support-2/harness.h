#ifndef ACACIASPRING_REVIEW_SUPPORT_2_HARNESS_H_
#define ACACIASPRING_REVIEW_SUPPORT_2_HARNESS_H_

#include <uv.h>

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "acaciaspring/net.h"
#include "fakes/fake_store.h"
#include "platform/soak/tcp_proxy.h"

namespace acaciaspring::review {

using soak::LinkFault;
using soak::TcpProxy;

/// @brief Writes record.txt: what was sent, answered and run, with the time since the start.
class Journal {
 public:
  Journal(net::Loop& loop, const std::string& path) : loop_(loop), file_(path) {
    start_ = loop.Now();
  }
  void Write(const std::string& line);

 private:
  net::Loop& loop_;
  std::ofstream file_;
  MonotonicTime start_;
};

/// @brief What the store holds, and its limit (PROTOCOL.md: "When 400 MB are stored in total,
/// appends receive 507"). Counts appends and trims of the topics that the daemons write.
class StoreRoom {
 public:
  bool HasRoomFor(std::size_t bytes) const { return stored_ + bytes <= limit_; }
  void OnAppended(const std::string& partition, std::uint64_t end, std::size_t bytes);
  void OnTrimmed(const std::string& partition, std::uint64_t before);
  std::uint64_t stored() const { return stored_; }
  std::uint64_t refused() const { return refused_; }
  void CountRefused() { ++refused_; }

 private:
  std::uint64_t limit_ = 400'000'000;
  std::uint64_t stored_ = 0;
  std::uint64_t refused_ = 0;
  std::map<std::string, std::deque<std::pair<std::uint64_t, std::size_t>>> appends_;
};

/// @brief The store as one daemon reaches it: relays its calls, or turns them away.
class StoreFront {
 public:
  StoreFront(net::Loop& loop, net::Address store, StoreRoom& room);
  net::Address address() const { return server_.address(); }
  /// @brief Answers all calls with 503, which promises that nothing was done.
  void SetTurnsAway(bool turns_away) { turns_away_ = turns_away; }
  /// @brief Called with each answer of the store; returns how much later the daemon gets it.
  using DelayAnswer =
      std::function<Duration(const net::HttpRequest& request, const std::string& answer)>;
  void SetDelay(DelayAnswer delay) { delay_ = std::move(delay); }

 private:
  void Account(const net::HttpRequest& request, int status, const std::string& answer);

  net::Loop& loop_;
  net::Address store_;
  StoreRoom& room_;
  net::HttpClient client_;
  bool turns_away_ = false;
  DelayAnswer delay_;
  std::map<std::uint64_t, net::Timer> late_answers_;
  std::map<std::uint64_t, std::shared_ptr<net::HttpCall>> calls_;
  std::uint64_t next_call_ = 0;
  net::HttpServer server_;
};

struct EngineRun {
  std::string id;
  std::string body;
  std::string previous_turn;
};

/// @brief Stand-in for a model server: answers every request with a stream of events. The number of
/// events follows "events=N" in the last line of the body.
class Engine {
 public:
  Engine(net::Loop& loop, Journal& journal, std::string id, std::string service);
  std::string RegistryEntry();
  const std::string& id() const { return id_; }
  const std::vector<EngineRun>& runs() const { return runs_; }
  void SetEventInterval(Duration interval) { interval_ = interval; }

 private:
  void Handle(const net::HttpRequest& request, const net::HttpResponderPtr& responder);
  void SendEvent(const net::HttpResponderPtr& responder,
                 const std::string& id,
                 std::uint32_t index,
                 std::uint32_t count);

  net::Loop& loop_;
  Journal& journal_;
  std::string id_;
  std::string service_;
  Duration interval_ = std::chrono::milliseconds(8);
  std::vector<EngineRun> runs_;
  std::uint64_t sequence_ = 0;
  std::uint64_t next_timer_ = 0;
  std::map<std::uint64_t, net::Timer> timers_;
  net::HttpServer server_;
};

struct Turn {
  std::string id = {};
  std::string program = {};
  std::string session = {};
  std::string previous = {};
  std::uint64_t budget = 0;
  std::uint64_t max_tokens = 0;
  std::uint32_t events = 1;
  std::string text = {};
};

struct TurnResult {
  int status = 0;
  /// The answer arrived whole.
  bool whole = false;
  /// The daemon closed the channel before the end of the answer.
  bool cut = false;
  std::uint32_t events = 0;
  std::string output = {};
};

/// @brief Runs one daemon as a separate process with the settings of a small deployment, on its own
/// loopback address, and the proxy between it and the store.
class Daemon {
 public:
  Daemon(net::Loop& loop,
         Journal& journal,
         std::string directory,
         std::uint32_t index,
         const std::string& subnet,
         net::Address store,
         StoreRoom& room,
         std::uint32_t history_s);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();
  void Start();
  void Signal(int number);
  bool running() const { return running_; }
  std::uint32_t index() const { return index_; }
  const std::string& name() const { return name_; }
  net::Address front() const { return {.ip = ip_, .port = 8149}; }
  net::Address directory() const { return {.ip = ip_, .port = 8143}; }
  net::Address ready() const { return {.ip = ip_, .port = 8141}; }
  /// @brief The link between the daemon and the store.
  TcpProxy& store_link() { return proxy_; }
  StoreFront& store_front() { return front_; }
  /// @brief The process ended although no test had ended it.
  bool ended_by_itself() const { return ended_by_itself_; }
  /// @brief Starts the process again this long after it has ended, as the platform does.
  void SetRestartDelay(Duration delay) { restart_delay_ = delay; }
  const std::string& log_path() const { return log_path_; }

 private:
  net::Loop& loop_;
  Journal& journal_;
  std::uint32_t index_;
  std::string name_;
  std::string ip_;
  std::string settings_path_;
  std::string log_path_;
  StoreFront front_;
  TcpProxy proxy_;
  uv_process_t process_{};
  bool running_ = false;
  bool end_expected_ = false;
  bool ended_by_itself_ = false;
  bool destroying_ = false;
  std::optional<Duration> restart_delay_;
  net::Timer restart_;
};

struct SiteOptions {
  std::uint32_t daemons = 3;
  std::uint32_t engines = 2;
  /// platform.retain_s of the settings.
  std::uint32_t history_s = 300;
  /// The store drops records that are older than history_s.
  bool expires = false;
  /// Callers keep idle channels for this long.
  Duration channel_idle = std::chrono::milliseconds(50);
};

/// @brief Store, engines, daemons and callers of a small deployment.
class Site {
 public:
  Site(const std::string& directory, const SiteOptions& options);
  ~Site();
  net::Loop& loop() { return loop_; }
  Journal& journal() { return journal_; }
  fakes::FakeStore& store() { return store_; }
  const StoreRoom& room() const { return room_; }
  Daemon& daemon(std::size_t index) { return *daemons_.at(index); }
  std::vector<std::unique_ptr<Daemon>>& daemons() { return daemons_; }
  std::vector<std::unique_ptr<Engine>>& engines() { return engines_; }

  void RunFor(Duration duration);
  /// @brief Runs the loop until `done` is true; false after the time limit.
  bool RunUntil(const std::function<bool()>& done, Duration limit);
  /// @brief Starts the daemons and waits until all answer their readiness check. False if they do
  /// not within 20 s.
  bool StartAll();
  void Send(Daemon& daemon, const Turn& turn, std::function<void(const TurnResult&)> on_done);
  /// @brief Sends a turn and waits for its end.
  TurnResult SendAndWait(Daemon& daemon, const Turn& turn);
  /// @brief Events that callers have received, by program.
  std::uint64_t EventsOf(const std::string& program) const;
  /// @brief Name of the daemon that ran the turn by its own log, or empty.
  std::string OwnerOf(const std::string& turn_id) const;
  std::string NextId() { return tag_ + std::to_string(++ids_); }
  std::string RunBodyOf(const std::string& id) const;

 private:
  void WriteManifest();
  void WriteRegistry();
  void ExpireHistory();

  SiteOptions options_;
  net::Loop loop_;
  Journal journal_;
  fakes::FakeStore store_;
  StoreRoom room_;
  net::HttpClient client_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::map<std::string, std::uint64_t> events_;
  std::map<std::uint64_t, std::shared_ptr<net::HttpCall>> calls_;
  std::uint64_t next_call_ = 0;
  std::uint64_t ids_ = 0;
  std::string tag_;
  net::Timer registration_;
  net::Timer expiry_;
  /// Ends of the store's partitions, oldest first.
  std::map<std::string, std::vector<std::pair<MonotonicTime, std::uint64_t>>> ends_;
};

/// @brief TROUBLE is not 0.
bool Trouble();
/// @brief Tokens of one event.
inline constexpr std::uint64_t kStride = 18;

}  // namespace acaciaspring::review

#endif  // ACACIASPRING_REVIEW_SUPPORT_2_HARNESS_H_
