#ifndef ACACIASPRING_SRC_LOAD_FAKE_SCHEDULER_H_
#define ACACIASPRING_SRC_LOAD_FAKE_SCHEDULER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fakes/answer.h"
#include "fakes/fake_http_server.h"

namespace acaciaspring::load {

/// @brief Faults injected by FakeScheduler. Faults of a call occur once per idempotency key unless
/// stated otherwise.
struct FakeSchedulerFaults {
  /// Closes the connection of a stream after three tokens.
  bool interrupt_streams = false;
  /// Refuses a model call with status 429, outcome "not_run" and a retry delay.
  bool refuse_calls = false;
  /// Refuses a model call with status 503, outcome "not_run" and no retry delay, as an entry does
  /// that is starting.
  bool not_ready = false;
  /// Closes the connection of a tool call after its execution, without a response.
  bool drop_tool_responses = false;
  /// Returns the outcome "unknown" for every call of the effect service.
  bool unknown_effects = false;
  /// Omits the second token of every answer.
  bool omit_token = false;
  /// Omits the last message of every history.
  bool omit_last_message = false;
  /// Adds an address to the list of entries at which no server listens.
  bool list_unreachable_entry = false;
};

/// @brief Minimal in-memory implementation of the scheduler's caller API for tests; it gives none
/// of the scheduler's guarantees.
class FakeScheduler {
 public:
  FakeScheduler(net::Loop& loop, const FakeSchedulerFaults& faults)
      : loop_(loop),
        faults_(faults),
        server_(loop,
                {.listen = net::ParseAddress("127.0.0.1:0")},
                [this](const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
                  Handle(request, responder);
                }) {}

  net::Address address() const { return server_.address(); }
  const std::map<std::string, int>& executions() const { return executions_; }

 private:
  void Handle(const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
    const std::string key(net::FindHeader(request.headers, "idempotency-key"));
    const std::string programs_path = "/v1/programs/";
    if (request.path == "/v1/entries") {
      Json::Value body;
      body["ttl_ms"] = 1000;
      body["entries"][0]["address"] = address().ToString();
      body["entries"][0]["zone"] = "a";
      if (faults_.list_unreachable_entry) {
        body["entries"][1]["address"] = "127.0.0.1:1";
        body["entries"][1]["zone"] = "b";
      }
      fakes::RespondJson(responder, 200, body);
    } else if (request.path == "/v1/programs") {
      Json::Value body;
      body["program"] = "p" + key;
      fakes::RespondJson(responder, 200, body);
    } else if (request.path.ends_with("/chat/completions")) {
      const std::size_t end = request.path.find('/', programs_path.size());
      HandleChat(request, key,
                 request.path.substr(programs_path.size(), end - programs_path.size()), responder);
    } else if (request.path.find("/tools/") != std::string::npos) {
      HandleToolCall(request, key, responder);
    } else if (request.path.ends_with("/history")) {
      const std::size_t end = request.path.find('/', programs_path.size());
      HandleHistory(request.path.substr(programs_path.size(), end - programs_path.size()),
                    responder);
    } else {
      fakes::RespondJson(responder, 200, Json::Value(Json::objectValue));
    }
  }

  bool IsFirst(const std::string& fault, const std::string& key) {
    return seen_keys_.insert(fault + key).second;
  }

  void SendNotRun(const net::HttpResponderPtr& responder, int status, int retry_after_ms) {
    Json::Value body;
    body["error"]["code"] = "overloaded";
    body["error"]["outcome"] = "not_run";
    body["error"]["retry_after_ms"] = retry_after_ms;
    fakes::RespondJson(responder, status, body);
  }

  void HandleChat(const net::HttpRequest& request,
                  const std::string& key,
                  const std::string& program,
                  const net::HttpResponderPtr& responder) {
    if (faults_.refuse_calls && IsFirst("refuse", key)) {
      SendNotRun(responder, 429, 1);
      return;
    }
    if (faults_.not_ready && IsFirst("not_ready", key)) {
      SendNotRun(responder, 503, 0);
      return;
    }
    std::vector<fakes::Message>& history = histories_[program];
    if (!answers_.contains(key)) {
      const std::optional<Json::Value> body = fakes::ParseJson(request.body);
      for (const Json::Value& message : (*body)["messages"]) {
        history.push_back({message["role"].asString(), message["content"].asString()});
      }
      answers_[key] = fakes::AnswerWords(history, (*body)["max_tokens"].asUInt64());
      history.push_back({"assistant", fakes::JoinWords(answers_[key])});
    }
    StreamAnswer(key, request, responder);
  }

  void StreamAnswer(const std::string& key,
                    const net::HttpRequest& request,
                    const net::HttpResponderPtr& responder) {
    const std::vector<std::string>& words = answers_[key];
    const std::string last_id(net::FindHeader(request.headers, "last-event-id"));
    const bool interrupt = faults_.interrupt_streams && IsFirst("cut", key);
    responder->Start(200, {{"content-type", "text/event-stream"}});
    for (std::size_t index = last_id.empty() ? 0 : std::stoul(last_id); index < words.size();
         ++index) {
      if (interrupt && index == 3) {
        // Delays the close, so that the tokens before it are sent.
        timers_.push_back(loop_.After(std::chrono::milliseconds(5),
                                      [responder] { fakes::CloseConnection(responder); }));
        return;
      }
      if (faults_.omit_token && index == 1) {
        continue;
      }
      Json::Value chunk;
      chunk["choices"][0]["delta"]["content"] =
          words[index] + (index + 1 < words.size() ? " " : "");
      responder->Write("id: " + std::to_string(index + 1) + "\ndata: " + fakes::WriteJson(chunk) +
                       "\n\n");
    }
    responder->Write("data: [DONE]\n\n");
    responder->End();
  }

  void HandleToolCall(const net::HttpRequest& request,
                      const std::string& key,
                      const net::HttpResponderPtr& responder) {
    // Like the scheduler, executes only the first call with a given key.
    if (IsFirst("tool", key)) {
      ++executions_[key];
    }
    if (faults_.drop_tool_responses && IsFirst("drop", key)) {
      fakes::CloseConnection(responder);
      return;
    }
    Json::Value body;
    if (faults_.unknown_effects && request.path.ends_with("/orders")) {
      body["error"]["code"] = "timeout";
      body["error"]["outcome"] = "unknown";
      fakes::RespondJson(responder, 504, body);
      return;
    }
    body["ok"] = true;
    body["execution"] = 1;
    fakes::RespondJson(responder, 200, body);
  }

  void HandleHistory(const std::string& program, const net::HttpResponderPtr& responder) {
    Json::Value body;
    body["messages"] = Json::Value(Json::arrayValue);
    const std::vector<fakes::Message>& history = histories_[program];
    const std::size_t count = history.size() - (faults_.omit_last_message ? 1 : 0);
    for (std::size_t index = 0; index < count; ++index) {
      Json::Value message;
      message["role"] = history[index].role;
      message["content"] = history[index].content;
      body["messages"].append(message);
    }
    fakes::RespondJson(responder, 200, body);
  }

  net::Loop& loop_;
  FakeSchedulerFaults faults_;
  std::vector<net::Timer> timers_;
  std::set<std::string> seen_keys_;
  std::map<std::string, std::vector<fakes::Message>> histories_;
  std::map<std::string, std::vector<std::string>> answers_;
  std::map<std::string, int> executions_;
  net::HttpServer server_;
};

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_FAKE_SCHEDULER_H_
