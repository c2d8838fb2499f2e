#ifndef ACACIASPRING_SRC_LOAD_FAKE_SCHEDULER_H_
#define ACACIASPRING_SRC_LOAD_FAKE_SCHEDULER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fakes/answer.h"
#include "fakes/service.h"

namespace acaciaspring::load {

/// @brief Faults of the test system; each call key is affected once.
struct TestSystemFaults {
  /// Closes the connection after three tokens.
  bool cut = false;
  /// Answers NotRun with a retry delay.
  bool refuse = false;
  /// Answers 503 with NotRun and without a retry delay, as an entry that is starting does.
  bool not_ready = false;
  /// Closes the connection of a tool call after its execution.
  bool drop_tool_answers = false;
  /// Answers Unknown to calls of the effect service, always.
  bool unknown_effects = false;
  /// Leaves out the second token.
  bool lose_token = false;
  /// Leaves out the last message of each history.
  bool shorten_history = false;
  /// Lists an entry that does not listen.
  bool dead_entry = false;
};

/// @brief Stands in for the scheduler in tests: the caller API of the design page without any of
/// its guarantees.
class TestSystem {
 public:
  TestSystem(net::Loop& loop, const TestSystemFaults& faults)
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
    const std::string prefix = "/v1/programs/";
    if (request.path == "/v1/entries") {
      Json::Value body;
      body["ttl_ms"] = 1000;
      body["entries"][0]["address"] = address().ToString();
      body["entries"][0]["zone"] = "a";
      if (faults_.dead_entry) {
        body["entries"][1]["address"] = "127.0.0.1:1";
        body["entries"][1]["zone"] = "b";
      }
      fakes::AnswerJson(responder, 200, body);
    } else if (request.path == "/v1/programs") {
      Json::Value body;
      body["program"] = "p" + key;
      fakes::AnswerJson(responder, 200, body);
    } else if (request.path.ends_with("/chat/completions")) {
      const std::size_t end = request.path.find('/', prefix.size());
      Chat(request, key, request.path.substr(prefix.size(), end - prefix.size()), responder);
    } else if (request.path.find("/tools/") != std::string::npos) {
      CallTool(request, key, responder);
    } else if (request.path.ends_with("/history")) {
      const std::size_t end = request.path.find('/', prefix.size());
      History(request.path.substr(prefix.size(), end - prefix.size()), responder);
    } else {
      fakes::AnswerJson(responder, 200, Json::Value(Json::objectValue));
    }
  }

  bool FirstTime(const std::string& what, const std::string& key) {
    return seen_.insert(what + key).second;
  }

  void RefuseAsNotRun(const net::HttpResponderPtr& responder, int status, int retry_after_ms) {
    Json::Value body;
    body["error"]["code"] = "overloaded";
    body["error"]["outcome"] = "not_run";
    body["error"]["retry_after_ms"] = retry_after_ms;
    fakes::AnswerJson(responder, status, body);
  }

  void Chat(const net::HttpRequest& request,
            const std::string& key,
            const std::string& program,
            const net::HttpResponderPtr& responder) {
    if (faults_.refuse && FirstTime("refuse", key)) {
      RefuseAsNotRun(responder, 429, 1);
      return;
    }
    if (faults_.not_ready && FirstTime("not_ready", key)) {
      RefuseAsNotRun(responder, 503, 0);
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
    Stream(key, request, responder);
  }

  void Stream(const std::string& key,
              const net::HttpRequest& request,
              const net::HttpResponderPtr& responder) {
    const std::vector<std::string>& words = answers_[key];
    const std::string last_id(net::FindHeader(request.headers, "last-event-id"));
    const bool cut = faults_.cut && FirstTime("cut", key);
    responder->Start(200, {{"content-type", "text/event-stream"}});
    for (std::size_t index = last_id.empty() ? 0 : std::stoul(last_id); index < words.size();
         ++index) {
      if (cut && index == 3) {
        // Later, so that the tokens before the cut have left.
        timers_.push_back(loop_.After(std::chrono::milliseconds(5),
                                      [responder] { fakes::CloseConnection(responder); }));
        return;
      }
      if (faults_.lose_token && index == 1) {
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

  void CallTool(const net::HttpRequest& request,
                const std::string& key,
                const net::HttpResponderPtr& responder) {
    // A scheduler removes duplicates by key, so only the first call of a key is executed.
    if (FirstTime("tool", key)) {
      ++executions_[key];
    }
    if (faults_.drop_tool_answers && FirstTime("drop", key)) {
      fakes::CloseConnection(responder);
      return;
    }
    Json::Value body;
    if (faults_.unknown_effects && request.path.ends_with("/orders")) {
      body["error"]["code"] = "timeout";
      body["error"]["outcome"] = "unknown";
      fakes::AnswerJson(responder, 504, body);
      return;
    }
    body["ok"] = true;
    body["execution"] = 1;
    fakes::AnswerJson(responder, 200, body);
  }

  void History(const std::string& program, const net::HttpResponderPtr& responder) {
    Json::Value body;
    body["messages"] = Json::Value(Json::arrayValue);
    const std::vector<fakes::Message>& history = histories_[program];
    const std::size_t count = history.size() - (faults_.shorten_history ? 1 : 0);
    for (std::size_t index = 0; index < count; ++index) {
      Json::Value message;
      message["role"] = history[index].role;
      message["content"] = history[index].content;
      body["messages"].append(message);
    }
    fakes::AnswerJson(responder, 200, body);
  }

  net::Loop& loop_;
  TestSystemFaults faults_;
  std::vector<net::Timer> timers_;
  std::set<std::string> seen_;
  std::map<std::string, std::vector<fakes::Message>> histories_;
  std::map<std::string, std::vector<std::string>> answers_;
  std::map<std::string, int> executions_;
  net::HttpServer server_;
};

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_FAKE_SCHEDULER_H_
