#include "src/load/load_run.h"

#include <glog/logging.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <set>

#include "fakes/service.h"

namespace acaciaspring::load {

namespace {

/// @brief Faults of the stub; each call key is affected once.
struct StubFaults {
  /// Closes the connection after three tokens.
  bool cut = false;
  /// Answers NotRun with a retry delay.
  bool refuse = false;
  /// Closes the connection of a tool call after its execution.
  bool drop_tool_answers = false;
  /// Answers Unknown to calls of the effect service, always.
  bool unknown_effects = false;
  /// Leaves out the second token.
  bool lose_token = false;
  /// Leaves out the last message of each history.
  bool shorten_history = false;
};

// Stands in for the scheduler: one process with the caller API of the design page.
class StubSystem {
 public:
  StubSystem(net::Loop& loop, const StubFaults& faults)
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

  void Chat(const net::HttpRequest& request,
            const std::string& key,
            const std::string& program,
            const net::HttpResponderPtr& responder) {
    if (faults_.refuse && FirstTime("refuse", key)) {
      Json::Value body;
      body["error"]["code"] = "overloaded";
      body["error"]["outcome"] = "not_run";
      body["error"]["retry_after_ms"] = 1;
      fakes::AnswerJson(responder, 503, body);
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
  StubFaults faults_;
  std::vector<net::Timer> timers_;
  std::set<std::string> seen_;
  std::map<std::string, std::vector<fakes::Message>> histories_;
  std::map<std::string, std::vector<std::string>> answers_;
  std::map<std::string, int> executions_;
  net::HttpServer server_;
};

struct RunResult {
  Report report;
  std::map<std::string, int> executions;
};

RunResult RunLoad(const StubFaults& faults) {
  // The faults below make the tool log every difference.
  FLAGS_minloglevel = google::GLOG_FATAL;
  LoadOptions options;
  options.organisation_keys = {"key"};
  options.programs = 12;
  options.concurrency = 4;
  options.run_id = "run";
  options.min_turns = 2;
  options.max_turns = 4;
  options.tool_service = "stock";
  options.effect_service = "orders";
  options.effect_probability = 0.5;
  options.sub_agent_probability = 0.3;
  net::Loop loop;
  StubSystem system(loop, faults);
  options.entries = {system.address()};
  net::HttpClient client(loop, {});
  EntryDirectory directory(loop, client, options.entries, "key", 1);
  RunResult result;
  LoadRun run({loop, client, directory, options, result.report}, [&loop] { loop.Stop(); });
  directory.Start([&run] { run.Start(); });
  const net::Timer limit = loop.After(std::chrono::seconds(60), [&loop] { loop.Stop(); });
  loop.Run();
  run.CountAbandoned();
  result.executions = system.executions();
  return result;
}

}  // namespace

BOOST_AUTO_TEST_CASE(run_without_faults_is_correct) {
  const Report report = RunLoad({}).report;
  BOOST_TEST(report.programs_failed == 0U);
  BOOST_TEST(report.programs_finished > 12U);  // With sub-agents.
  BOOST_TEST(report.calls_completed > 0U);
  BOOST_TEST(report.effects_requested > 0U);
  BOOST_TEST(report.effects_requested == report.effects_completed);
  BOOST_TEST(report.retries == 0U);
  BOOST_TEST(report.answers_cut == 0U);
  BOOST_TEST(report.correct());
}

// A cut must be counted, and the resumed answer must be whole.
BOOST_AUTO_TEST_CASE(cut_answers_are_counted_and_resumed) {
  const Report report = RunLoad({.cut = true}).report;
  BOOST_TEST(report.programs_failed == 0U);
  BOOST_TEST(report.answers_cut > 0U);
  BOOST_TEST(report.retries >= report.answers_cut);
  BOOST_TEST(report.correct());
}

BOOST_AUTO_TEST_CASE(refused_calls_are_sent_again) {
  const Report report = RunLoad({.refuse = true}).report;
  BOOST_TEST(report.programs_failed == 0U);
  BOOST_TEST(report.retries > 0U);
  BOOST_TEST(report.calls_not_run == 0U);
  BOOST_TEST(report.correct());
}

// A new key for the retry would execute an effect twice.
BOOST_AUTO_TEST_CASE(lost_tool_answers_are_asked_for_under_the_same_key) {
  const RunResult result = RunLoad({.drop_tool_answers = true});
  BOOST_TEST(result.report.programs_failed == 0U);
  BOOST_TEST(result.report.effects_unknown == 0U);
  BOOST_TEST(result.executions.size() == result.report.retries);
}

BOOST_AUTO_TEST_CASE(unknown_effects_are_not_repeated) {
  const Report report = RunLoad({.unknown_effects = true}).report;
  BOOST_TEST(report.effects_unknown == report.effects_requested);
  BOOST_TEST(report.retries == 0U);
}

// The tool is worth nothing if it accepts a damaged answer or history.
BOOST_AUTO_TEST_CASE(damage_is_reported) {
  const Report lost = RunLoad({.lose_token = true}).report;
  BOOST_TEST(lost.answers_incomplete > 0U);
  BOOST_TEST(!lost.correct());
  const Report shortened = RunLoad({.shorten_history = true}).report;
  BOOST_TEST(lost.histories_wrong == 0U);
  BOOST_TEST(shortened.answers_incomplete == 0U);
  BOOST_TEST(shortened.histories_wrong > 0U);
  BOOST_TEST(!shortened.correct());
}

}  // namespace acaciaspring::load
