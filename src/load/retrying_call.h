#ifndef ACACIASPRING_SRC_LOAD_RETRYING_CALL_H_
#define ACACIASPRING_SRC_LOAD_RETRYING_CALL_H_

#include <json/value.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "acaciaspring/net.h"
#include "src/load/answer_collector.h"
#include "src/load/entry_directory.h"
#include "src/load/options.h"
#include "src/load/report.h"

namespace acaciaspring::load {

/// @brief Objects shared by all calls of a run.
struct LoadContext {
  net::Loop& loop;
  net::HttpClient& client;
  EntryDirectory& directory;
  const LoadOptions& options;
  Report& report;
};

struct CallSpec {
  std::string method = "POST";
  std::string target = {};
  /// Set by the sender of the call.
  std::string organisation_key = {};
  std::string idempotency_key = {};
  std::string body = {};
  /// Whether a successful response is an event stream.
  bool streaming = false;
  /// Whether a response with the outcome Unknown ends the call; it is final for a non-idempotent
  /// call.
  bool non_idempotent = false;
};

enum class CallOutcome { kCompleted, kNotRun, kFailed, kUnknown };

struct CallResult {
  CallOutcome outcome = CallOutcome::kUnknown;
  /// Code of the last error response; empty if none.
  std::string code;
  /// Body of the response to a call without streaming.
  std::string body;
  AnswerCollector answer;
  std::optional<Duration> first_token_latency;
};

/// @brief One call through the entries with retries until the deadline. Retries go to another entry
/// with the same idempotency key, after a lost connection, a 5xx or 429 response, NotRun with a
/// retry delay, or Unknown if the call is idempotent. The owner must keep the object until its
/// callback.
class RetryingCall : public std::enable_shared_from_this<RetryingCall> {
 public:
  using OnDone = std::function<void(const CallResult& result)>;

  RetryingCall(const LoadContext& context, CallSpec spec, OnDone on_done);
  void Start();

 private:
  void SendAttempt();
  void OnData(std::string_view data);
  void OnEvent(const SseEvent& event);
  void OnAttemptDone(const net::HttpResult& result);
  void OnResponse();
  void OnError(const Json::Value& error);
  void Retry(Duration delay, CallOutcome outcome_at_deadline);
  void Finish(CallOutcome outcome);

  LoadContext context_;
  CallSpec spec_;
  OnDone on_done_;
  CallResult result_;
  MonotonicTime started_;
  MonotonicTime deadline_;
  Duration backoff_;
  std::optional<net::Address> address_;
  int status_ = 0;
  std::string body_;
  bool data_received_ = false;
  /// An attempt may have run, so the call must not end with the outcome NotRun.
  bool may_have_run_ = false;
  std::unique_ptr<SseParser> parser_;
  std::shared_ptr<net::HttpCall> call_;
  net::Timer timer_;
};

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_RETRYING_CALL_H_
