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
#include "fakes/fault_switches.h"
#include "fakes/json_text.h"

namespace acaciaspring::fakes {

/// @brief One HTTP call to a fake.
struct Call {
  net::HttpRequest request;
  net::HttpResponderPtr responder;
  /// Values of the path segments that are {placeholders} in the route.
  std::vector<std::string> parameters;
};

/// @brief Value of a query parameter, or `fallback` if it is missing or not a number.
std::uint64_t QueryNumber(const net::HttpRequest& request,
                          std::string_view name,
                          std::uint64_t fallback);

void RespondJson(const net::HttpResponderPtr& responder, int status, const Json::Value& value);
/// @brief Responds with {"error":{"code","message"}}.
void RespondError(const net::HttpResponderPtr& responder,
                  int status,
                  const std::string& code,
                  const std::string& message);

/// @brief Token bucket with a capacity of a tenth of a second of the rate, but at least one token.
class RateLimiter {
 public:
  /// @brief A rate of 0 means no limit.
  explicit RateLimiter(double per_second) : per_second_(per_second) {}
  bool Allow(MonotonicTime now);

 private:
  double per_second_;
  double tokens_ = 1;
  MonotonicTime updated_{};
};

/// @brief HTTP server of a fake: routes, counters (GET /stats) and fault switches (GET and POST
/// /faults).
///
/// Every fake has the switches delay_ms (delay before the handler runs), refuse and outage (status
/// 503, the handler does not run) and freeze (calls are queued and handled once the switch is off).
class FakeHttpServer {
 public:
  using Handler = std::function<void(const Call& call)>;

  FakeHttpServer(net::Loop& loop, const net::Address& listen, std::vector<std::string> fault_names);

  /// @brief Adds a handler. Segments of `pattern` in braces match any text.
  void Route(std::string method, const std::string& pattern, Handler handler);
  /// @brief Sets the callback that adds values to the response of GET /stats.
  void OnStats(std::function<void(Json::Value& stats)> callback);
  /// @brief Adds a callback that runs after each change of the fault switches.
  void OnFaultsChanged(std::function<void()> callback);
  void Count(std::string_view name, std::uint64_t amount = 1);
  /// @brief Sets a counter to the larger of its value and `value`.
  void RecordMaximum(std::string_view name, std::uint64_t value);
  /// @brief Keeps the connection of a call open without sending a response.
  void LeaveUnanswered(const net::HttpResponderPtr& responder);
  /// @brief Runs `callback` after `delay`.
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
  std::vector<Call> frozen_calls_;
  std::vector<net::HttpResponderPtr> unanswered_calls_;
  std::uint64_t next_timer_id_ = 0;
  std::map<std::uint64_t, net::Timer> timers_;
  net::HttpServer server_;
};

/// @brief Closes the connection of a call without a complete response.
void CloseConnection(const net::HttpResponderPtr& responder);

/// @brief Parses the command line, runs a fake until SIGTERM or SIGINT and returns the exit status.
///
/// `options` are the fake's own options; --help and --listen are added. `start` creates the fake;
/// the returned object is destroyed after the loop has stopped.
int RunFake(
    int argc,
    char** argv,
    boost::program_options::options_description options,
    const std::function<std::shared_ptr<void>(net::Loop& loop, const net::Address& listen)>& start);

}  // namespace acaciaspring::fakes

#endif  // FAKES_FAKE_HTTP_SERVER_H_
