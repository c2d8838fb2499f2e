#ifndef ACACIASPRING_REVIEW_SUPPORT_3_KIT_H_
#define ACACIASPRING_REVIEW_SUPPORT_3_KIT_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// @brief Time since the start of the program.
Ms Elapsed();
void Sleep(Ms duration);
void SleepUntil(Ms since_start);

/// @brief Writes lines with the time since the start to record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// @brief An HTTP message as it was read from a connection.
struct Message {
  std::string first_line;
  Headers headers;
  std::string body;
  std::string Header(const std::string& name) const;
};

/// @brief A blocking connection.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  bool Write(const std::string& data);
  /// @brief Reads a request with a length or chunks. Returns false at the end of the connection.
  bool ReadRequest(Message& message);
  /// @brief Reads the head of a response.
  bool ReadHead(Message& message);
  /// @brief Reads the rest of a response; false if it is cut. Calls `on_data` for each part.
  bool ReadBody(Message& message, const std::function<void()>& on_data = nullptr);
  void SetTimeout(Ms timeout);
  int fd() const { return fd_; }

 private:
  bool Fill();
  bool ReadLine(std::string& line);
  bool ReadBytes(std::size_t count, std::string& out);

  int fd_;
  std::string buffer_;
};
using ConnectionPtr = std::shared_ptr<Connection>;

/// @brief Connects to IP:PORT; null if that fails.
ConnectionPtr Connect(const std::string& address, Ms timeout);

/// @brief Listens on an address and runs `handler` in a thread for each connection.
class Listener {
 public:
  using Handler = std::function<void(const ConnectionPtr&)>;
  /// @brief `port` 0 takes a free one.
  Listener(const std::string& ip, int port, Handler handler);
  std::string address() const { return address_; }

 private:
  std::string address_;
};

struct StoreOptions {
  int parts = 12;
  /// "The oldest records expire after `retain_s`".
  double retain_s = 300;
  Ms latency{4};
};

/// @brief What happens to one call of a daemon.
enum class CallFate { kServe, kRefuse, kLoseAnswer, kReset, kSilent };

/// @brief The platform's store, as PROTOCOL.md describes it.
class Store {
 public:
  Store(StoreOptions options, Record& record);
  /// @brief An address of the store for one daemon, so that its calls can be told apart.
  std::string AddressFor(int daemon);
  /// @brief Writes a key as the operator or a server does.
  void WriteKey(const std::string& topic, const std::string& key, const std::string& value);
  /// @brief Decides what happens to the calls of a daemon. Replaces the former function.
  void SetFate(std::function<CallFate(int daemon, const std::string& path)> fate);
  /// @brief For `duration`, each answer takes between 1 and `most` times as long as usual. Calls
  /// are executed when they arrive.
  void BeSlow(double most, Ms duration);
  /// @brief Cuts the way from the store to a daemon for `duration`; the way to the store stays
  /// open. An answer that is sent meanwhile arrives when TCP first repeats it after the end of the
  /// cut, 0.2, 0.6 or 1.4 s after it was sent. New channels cannot be opened.
  void CutAnswers(int daemon, Ms duration);
  /// @brief The member that holds a partition, empty for none.
  std::string OwnerOf(const std::string& topic, int part);
  /// @brief The member that holds the partition with a record that contains `text`, empty for none.
  std::string OwnerOfRecord(const std::string& text);
  /// @brief Reassigns all partitions at once.
  void Rebalance();
  std::map<std::string, int> CallCounts();

 private:
  struct Stored {
    std::string bytes;
    Clock::time_point at;
  };
  struct Appended {
    std::uint64_t offset = 0;
    std::uint64_t end = 0;
  };
  struct Producer {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    std::map<std::uint64_t, Appended> recent;
  };
  struct Partition {
    std::uint64_t first = 0;
    std::deque<Stored> records;
    std::map<std::string, Producer> producers;
    std::uint64_t end() const { return first + records.size(); }
  };
  struct Member {
    Clock::time_point expires;
    std::uint64_t generation = 0;
  };
  struct Assignment {
    std::string owner;
    std::string target;
  };
  struct Response {
    int status = 200;
    std::string body;
    std::string type = "application/json";
  };

  void Serve(int daemon, const ConnectionPtr& connection);
  /// @brief The time that an answer takes now.
  std::chrono::duration<double, std::milli> AnswerTime();
  /// @brief When an answer to the daemon that is sent at `now` arrives.
  Clock::time_point ArrivalOfAnswer(int daemon, Clock::time_point now);
  Response Handle(const std::string& method, const std::string& target, const std::string& body);
  Response Append(const std::map<std::string, std::string>& query, const std::string& body);
  Response Read(const std::map<std::string, std::string>& query);
  Response Newest(const std::map<std::string, std::string>& query);
  Response Join(const std::string& body);
  Partition& Find(const std::string& topic, int part);
  void ExpireMembers();
  void Deal();
  void MoveReleased();
  void ApplyKeyed(const std::string& topic, const std::string& record, std::uint64_t offset);

  StoreOptions options_;
  Record& record_;
  std::mutex mutex_;
  std::function<CallFate(int, const std::string&)> fate_;
  double slowness_ = 1;
  Clock::time_point slow_until_;
  std::map<int, Clock::time_point> answers_cut_until_;
  std::mt19937_64 random_;
  std::map<std::pair<std::string, int>, Partition> partitions_;
  std::map<std::string, std::map<std::string, std::pair<std::string, std::uint64_t>>> newest_;
  std::uint64_t generation_ = 0;
  std::uint64_t rotation_ = 0;
  std::map<std::string, Member> members_;
  std::map<std::pair<std::string, int>, Assignment> assignments_;
  std::map<std::string, int> counts_;
  std::vector<std::unique_ptr<Listener>> listeners_;
};

/// @brief One run of a request at a server.
struct Run {
  std::string server;
  std::string request;
  std::string path;
  std::string program;
  std::string previous;
  std::string body;
  std::string deadline_ms;
  Ms at{0};
};

/// @brief A server: answers streams of events on /turns/ and whole bodies elsewhere.
class Server {
 public:
  Server(std::string id, std::string service, int events, Ms event_interval, Record& record);
  const std::string& id() const { return id_; }
  /// @brief The next entry for the registry.
  std::string Entry() const;
  /// @brief From now on the entries say that it drains, and its answers that it leaves.
  void Drain() { draining_ = true; }
  std::vector<Run> Runs() const;
  std::size_t RunsOf(const std::string& request) const;
  /// @brief The data of event `index` of a request.
  static std::string EventData(const std::string& request, int index);
  int events() const { return events_; }
  /// @brief What a turn adds to its chain besides its input.
  std::string OutputOf(const std::string& request) const;

 private:
  void Serve(const ConnectionPtr& connection);

  std::string id_;
  std::string service_;
  int events_;
  Ms event_interval_;
  Record& record_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  std::int64_t born_ms_;
  mutable std::atomic<int> sequence_{0};
  std::atomic<bool> draining_{false};
  std::unique_ptr<Listener> listener_;
};

struct DaemonOptions {
  int index = 0;
  std::string ip;
  std::string zone = "z0";
  std::string store;
  std::string folder;
  double retain_s = 300;
};

/// @brief A gateway daemon as its own process.
class Daemon {
 public:
  explicit Daemon(DaemonOptions options);
  ~Daemon();
  void Start();
  void Signal(int number);
  /// @brief True if the process ended within `timeout`.
  bool WaitForExit(Ms timeout);
  /// @brief True once the process answers its platform's check with 200 within `timeout`.
  bool WaitUntilReady(Ms timeout);
  bool running();
  std::string front() const { return options_.ip + ":8149"; }
  std::string directory() const { return options_.ip + ":8143"; }
  std::string ready() const { return options_.ip + ":8141"; }
  std::string name() const { return "front-" + std::to_string(options_.index); }
  int last_status() const { return last_status_; }

 private:
  DaemonOptions options_;
  pid_t pid_ = -1;
  int last_status_ = 0;
  std::mutex mutex_;
};

/// @brief The answer to a request, as the client sees it.
struct Answer {
  /// 0 if no head arrived.
  int status = 0;
  bool complete = false;
  std::string body;
  Headers headers;
  Ms took{0};
  std::string server_stamp;
  std::string reason;
};

struct Request {
  std::string id;
  std::string method = "POST";
  std::string path;
  std::string body;
  Headers headers;
  Ms deadline{4000};
};

/// @brief Sends a request on `connection`, or on a new connection if it is null or closed.
Answer Send(const std::string& address, const Request& request, ConnectionPtr* kept = nullptr);

/// @brief Asks a daemon's directory for addresses.
std::vector<std::string> Lookup(const std::string& directory);

std::string NewId();
/// @brief A folder for this run and a block of loopback addresses that nothing listens on.
std::string MakeFolder();
std::string FreeSubnet();
bool TroubleWanted();

/// @brief The manifest of a small deployment.
std::string Manifest(int version, int retain_s = 60);

}  // namespace review

#endif  // ACACIASPRING_REVIEW_SUPPORT_3_KIT_H_
