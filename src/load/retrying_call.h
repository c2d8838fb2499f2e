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

/// @brief What every call of a run needs.
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
  /// Filled in by the owner of the call.
  std::string organisation_key = {};
  std::string idempotency_key = {};
  std::string body = {};
  /// The answer is an event stream.
  bool streaming = false;
  /// Ends at the first answer that says Unknown: it is the final state of a non-idempotent call.
  bool non_idempotent = false;
};

enum class CallEnd { kCompleted, kNotRun, kFailed, kUnknown };

struct CallResult {
  CallEnd end = CallEnd::kUnknown;
  /// Code of the error that ended the call, or empty.
  std::string code;
  /// Body of a call that is not a stream.
  std::string body;
  AnswerCollector answer;
  std::optional<Duration> first_token_latency;
};

/// @brief One call through the entries. Sends the same idempotency key again, to another entry,
/// after a lost connection, a 5xx answer or NotRun with a retry delay, until the deadline. The
/// owner keeps the object until its callback.
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
  void OnAnswer();
  void OnError(const Json::Value& error);
  void Retry(Duration delay, CallEnd end_if_too_late);
  void Finish(CallEnd end);

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
  bool received_ = false;
  /// An attempt may have run, so the call cannot end as NotRun without an answer that says so.
  bool may_have_run_ = false;
  std::unique_ptr<SseParser> parser_;
  std::shared_ptr<net::HttpCall> call_;
  net::Timer timer_;
};

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_RETRYING_CALL_H_
