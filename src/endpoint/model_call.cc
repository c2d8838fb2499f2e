#include <algorithm>
#include <utility>

#include "acaciaspring/endpoint.h"
#include "src/endpoint/json.h"
#include "src/endpoint/model_stream.h"
#include "src/endpoint/response.h"

namespace acaciaspring::endpoint {

namespace {

// Large enough for the error object of an error response.
constexpr std::size_t kMaxErrorBodyBytes = std::size_t{64} << 10;
// How long the engine may take to end the HTTP response after the stream is complete.
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

/// @brief State of one model call, owned by the callbacks of its HTTP exchange. After a complete
/// stream the exchange continues to the end of the response so that the connection can be reused.
class ModelCall : public std::enable_shared_from_this<ModelCall> {
 public:
  ModelCall(net::Loop& loop, const ModelCallOptions& options, ModelCallbacks callbacks)
      : loop_(loop),
        started_at_(loop.Now()),
        first_token_timeout_(options.first_token_timeout),
        idle_timeout_(options.idle_timeout),
        callbacks_(std::move(callbacks)),
        stream_(options.max_tokens) {}

  void Start(net::HttpClient& client, const ModelCallOptions& options) {
    const auto messages = ParseJson(options.messages);
    if (!messages || !messages->isArray()) {
      // Nothing was sent. on_finished must not be called from within StartModelCall.
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
      ReleaseHttpCall();
    }
  }

 private:
  void OnHead(int status, const net::Headers& headers) {
    response_.status = status;
    response_.headers = headers;
    // Until the response head arrives, the I/O timeout of the HTTP call applies: its result tells
    // whether the request was sent.
    const Duration elapsed = std::chrono::duration_cast<Duration>(loop_.Now() - started_at_);
    timer_ = loop_.After(std::max(Duration(0), first_token_timeout_ - elapsed),
                         [this] { Finish(Unknown{UnknownReason::kTimeout}); });
  }

  void OnData(std::string_view data) {
    if (response_.status != 200) {
      response_.body.append(data.substr(0, kMaxErrorBodyBytes - response_.body.size()));
      return;
    }
    if (finished_) {
      return;
    }
    const auto self = shared_from_this();
    const std::vector<StreamToken> tokens = stream_.Feed(data);
    for (const StreamToken& token : tokens) {
      if (!received_first_token_) {
        received_first_token_ = true;
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
      // The result of the exchange no longer matters: the model's output is complete.
      timer_.Cancel();
      call_->SetIoTimeout(kEndOfExchangeTimeout);
      ReportOutcome(Completed{});
    } else {
      Finish(*stream_.outcome());
    }
  }

  void OnDone(const net::HttpResult& result) {
    if (finished_) {
      ReleaseHttpCall();
      return;
    }
    response_.result = result;
    const Outcome outcome = ToOutcome(response_);
    if (std::holds_alternative<Completed>(outcome)) {
      // The HTTP response ended successfully, but without `[DONE]`.
      Finish(Unknown{UnknownReason::kConnectionLost});
    } else {
      Finish(outcome);
    }
  }

  void Finish(const Outcome& outcome) {
    const auto self = shared_from_this();
    ReleaseHttpCall();
    ReportOutcome(outcome);
  }

  void ReportOutcome(const Outcome& outcome) {
    finished_ = true;
    const ModelCallbacks callbacks = std::move(callbacks_);
    if (const auto& on_finished = callbacks.on_finished) {
      on_finished(outcome, stream_.usage());
    }
  }

  void ReleaseHttpCall() {
    timer_.Cancel();
    call_.reset();
  }

  net::Loop& loop_;
  MonotonicTime started_at_;
  Duration first_token_timeout_;
  Duration idle_timeout_;
  ModelCallbacks callbacks_;
  ModelStream stream_;
  /// Status, headers and result of the response; the body only if the status is not 200.
  Response response_;
  bool received_first_token_ = false;
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
