#ifndef FAKES_FAKE_HTTP_SERVER_H_
#define FAKES_FAKE_HTTP_SERVER_H_

#include <json/value.h>

#include <boost/program_options.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaspring/net.h"
#include "fakes/faults.h"
#include "fakes/json_text.h"

namespace acaciaspring::fakes {

/// @brief One HTTP call to a fake.
struct Call {
  net::HttpRequest request;
  net::HttpResponderPtr responder;
  /// Path segments that stand for the {names} of the route.
  std::vector<std::string> parameters;
};

/// @brief A number of the query, or `fallback` when it is absent or not a number.
std::uint64_t QueryNumber(const net::HttpRequest& request,
                          std::string_view name,
                          std::uint64_t fallback);

void RespondJson(const net::HttpResponderPtr& responder, int status, const Json::Value& value);
/// @brief Answers {"error":{"code","message"}}.
void RespondError(const net::HttpResponderPtr& responder,
                  int status,
                  const std::string& code,
                  const std::string& message);

/// @brief Allows a rate with a burst of a tenth of a second.
class RateLimit {
 public:
  /// @brief 0 for no limit.
  explicit RateLimit(double per_second) : per_second_(per_second) {}
  bool Allow(MonotonicTime now);

 private:
  double per_second_;
  double tokens_ = 1;
  MonotonicTime updated_{};
};

/// @brief HTTP server of a fake: routes, counters (GET /stats) and fault switches (GET and POST
/// /faults).
///
/// Every fake has the switches delay_ms (before the handler), refuse and outage (503 before the
/// handler) and freeze (calls are held and handled when the switch is off again).
class FakeHttpServer {
 public:
  using Handler = std::function<void(const Call& call)>;

  FakeHttpServer(net::Loop& loop, const net::Address& listen, std::vector<std::string> fault_names);

  /// @brief `pattern` is a path whose segments in braces match any text.
  void Route(std::string method, const std::string& pattern, Handler handler);
  /// @brief Adds values to the answer of GET /stats.
  void OnStats(std::function<void(Json::Value& stats)> callback);
  /// @brief Calls after each change of the switches.
  void OnFaultsChanged(std::function<void()> callback);
  void Count(std::string_view name, std::uint64_t amount = 1);
  /// @brief Sets a counter to the larger of its value and `value`.
  void CountMaximum(std::string_view name, std::uint64_t value);
  /// @brief Leaves a call without an answer and its connection open.
  void HoldWithoutAnswer(const net::HttpResponderPtr& responder);
  /// @brief Calls after `delay`.
  void After(Duration delay, std::function<void()> callback);
  FaultSwitches& faults() { return faults_; }
  net::Loop& loop() { return loop_; }
  net::Address address() const { return server_.address(); }

 private:
  struct RouteEntry {
    std::string method;
    std::vector<std::string> segments;
    Handler handler;
  };

  void Handle(net::HttpRequest request, net::HttpResponderPtr responder);
  bool HandleControl(const net::HttpRequest& request, const net::HttpResponderPtr& responder);
  void Dispatch(const Call& call);
  void ApplyFaults(const net::HttpRequest& request, const net::HttpResponderPtr& responder);

  net::Loop& loop_;
  FaultSwitches faults_;
  std::vector<RouteEntry> routes_;
  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::function<void(Json::Value&)> on_stats_;
  std::vector<std::function<void()>> on_faults_changed_;
  std::vector<Call> frozen_;
  std::vector<net::HttpResponderPtr> unanswered_;
  std::uint64_t next_timer_ = 0;
  std::map<std::uint64_t, net::Timer> timers_;
  net::HttpServer server_;
};

/// @brief Closes the connection of a call without a complete answer.
void CloseConnection(const net::HttpResponderPtr& responder);

/// @brief Parses the arguments, starts logging, runs until SIGTERM or SIGINT and returns the exit
/// status. `options` holds the fake's own options; `listen` is added here.
///
/// `start` creates the fake; the object that it returns lives until the loop has stopped.
int RunFake(
    int argc,
    char** argv,
    boost::program_options::options_description options,
    const std::function<std::shared_ptr<void>(net::Loop& loop, const net::Address& listen)>& start);

}  // namespace acaciaspring::fakes

#endif  // FAKES_FAKE_HTTP_SERVER_H_
