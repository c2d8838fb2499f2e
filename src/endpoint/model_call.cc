#include <algorithm>
#include <utility>

#include "acaciaspring/endpoint.h"
#include "src/endpoint/answer.h"
#include "src/endpoint/json.h"
#include "src/endpoint/model_stream.h"

namespace acaciaspring::endpoint {

namespace {

// Enough for the error object of a refusal.
constexpr std::size_t kMaxRefusalBytes = std::size_t{64} << 10;
// How long a connection may stay open after the end of its stream.
constexpr Duration kEndOfExchangeTimeout = std::chrono::seconds(1);

net::HttpClientRequest MakeRequest(const ModelCallOptions& options, const Json::Value& messages) {
  Json::Value body(Json::objectValue);
  body["model"] = options.model.value();
  body["messages"] = messages;
  body["stream"] = true;
  body["max_tokens"] = Json::UInt64{options.max_tokens.value()};
  body["priority"] = options.priority;
  body["user"] = options.program.value();
  body["hold"] = options.hold;
  net::Headers headers = {{"content-type", "application/json"}, {"accept", "text/event-stream"}};
  if (!options.traceparent.empty()) {
    headers.emplace_back("traceparent", options.traceparent);
  }
  return {.server = options.engine,
          .method = "POST",
          .target = "/v1/chat/completions",
          .headers = std::move(headers),
          .body = WriteJson(body),
          .io_timeout = options.first_token_timeout};
}

/// @brief Owned by the callbacks of its HTTP exchange, which goes on to its end after a complete
/// stream, so that the connection can be used again.
class ModelCall : public std::enable_shared_from_this<ModelCall> {
 public:
  ModelCall(net::Loop& loop, const ModelCallOptions& options, ModelCallbacks callbacks)
      : loop_(loop),
        started_(loop.Now()),
        first_token_timeout_(options.first_token_timeout),
        idle_timeout_(options.idle_timeout),
        callbacks_(std::move(callbacks)),
        stream_(options.max_tokens) {}

  void Start(net::HttpClient& client, const ModelCallOptions& options) {
    const auto messages = ParseJson(options.messages);
    if (!messages || !messages->isArray()) {
      // Nothing was sent; reported from the loop like any other end.
      timer_ = loop_.After(Duration(0), [self = shared_from_this()] {
        self->Finish(NotRun{.reason = NotRunReason::kInvalidRequest});
      });
      return;
    }
    const auto self = shared_from_this();
    call_ = client.Send(
        MakeRequest(options, *messages),
        {.on_head = [self](int status,
                           const net::Headers& headers) { self->OnHead(status, headers); },
         .on_data = [self](std::string_view data) { self->OnData(data); },
         .on_done = [self](const net::HttpResult& result) { self->OnDone(result); }});
  }

  void Cancel() {
    if (!finished_) {
      finished_ = true;
      Release();
    }
  }

 private:
  void OnHead(int status, const net::Headers& headers) {
    refusal_.status = status;
    refusal_.headers = headers;
    // Until the first byte the exchange's own timeout holds, which knows whether anything was sent.
    const Duration elapsed = std::chrono::duration_cast<Duration>(loop_.Now() - started_);
    timer_ = loop_.After(std::max(Duration(0), first_token_timeout_ - elapsed),
                         [this] { Finish(Unknown{UnknownReason::kTimeout}); });
  }

  void OnData(std::string_view data) {
    if (refusal_.status != 200) {
      refusal_.body.append(data.substr(0, kMaxRefusalBytes - refusal_.body.size()));
      return;
    }
    if (finished_) {
      return;
    }
    const auto self = shared_from_this();
    const std::vector<StreamToken> tokens = stream_.Feed(data);
    for (const StreamToken& token : tokens) {
      if (!first_token_seen_) {
        first_token_seen_ = true;
        timer_.Cancel();
        call_->SetIoTimeout(idle_timeout_);
      }
      callbacks_.on_token(token.index, token.text);
      if (finished_) {
        return;
      }
    }
    if (!stream_.outcome()) {
      return;
    }
    if (std::holds_alternative<Completed>(*stream_.outcome())) {
      // The answer is complete, however the exchange ends after it.
      timer_.Cancel();
      call_->SetIoTimeout(kEndOfExchangeTimeout);
      Report(Completed{});
    } else {
      Finish(*stream_.outcome());
    }
  }

  void OnDone(const net::HttpResult& result) {
    if (finished_) {
      Release();
      return;
    }
    refusal_.result = result;
    const Outcome outcome = OutcomeOf(refusal_);
    if (std::holds_alternative<Completed>(outcome)) {
      // The answer ended like a success, but without `[DONE]`.
      Finish(Unknown{UnknownReason::kConnectionLost});
    } else {
      Finish(outcome);
    }
  }

  void Finish(const Outcome& outcome) {
    const auto self = shared_from_this();
    Release();
    Report(outcome);
  }

  void Report(const Outcome& outcome) {
    finished_ = true;
    const ModelCallbacks callbacks = std::move(callbacks_);
    if (const auto& on_finished = callbacks.on_finished) {
      on_finished(outcome, stream_.usage());
    }
  }

  void Release() {
    timer_.Cancel();
    call_.reset();
  }

  net::Loop& loop_;
  MonotonicTime started_;
  Duration first_token_timeout_;
  Duration idle_timeout_;
  ModelCallbacks callbacks_;
  ModelStream stream_;
  /// Status, headers and body of an answer that is no stream.
  Answer refusal_;
  bool first_token_seen_ = false;
  bool finished_ = false;
  net::Timer timer_;
  std::shared_ptr<net::HttpCall> call_;
};

class ModelCallHandle : public Call {
 public:
  explicit ModelCallHandle(std::shared_ptr<ModelCall> call) : call_(std::move(call)) {}
  ModelCallHandle(const ModelCallHandle&) = delete;
  ModelCallHandle& operator=(const ModelCallHandle&) = delete;
  ~ModelCallHandle() override { call_->Cancel(); }
  void Cancel() override { call_->Cancel(); }

 private:
  std::shared_ptr<ModelCall> call_;
};

}  // namespace

CallPtr StartModelCall(net::HttpClient& client,
                       const ModelCallOptions& options,
                       ModelCallbacks callbacks) {
  auto call = std::make_shared<ModelCall>(client.loop(), options, std::move(callbacks));
  call->Start(client, options);
  return std::make_shared<ModelCallHandle>(std::move(call));
}

}  // namespace acaciaspring::endpoint
