#ifndef FAKES_FAKE_TOOLS_H_
#define FAKES_FAKE_TOOLS_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "fakes/fake_http_server.h"

namespace acaciaspring::fakes {

/// @brief Fake tool service that counts executions by operation and idempotency key. It does not
/// deduplicate calls, so that duplicate executions are visible.
///
/// Fault switches besides those of FakeHttpServer, each a number of calls: hang (the call is
/// executed and gets no response) and drop_answer_after_effect (the call is executed and its
/// connection is closed).
class FakeTools {
 public:
  FakeTools(net::Loop& loop, const net::Address& listen, std::chrono::milliseconds work)
      : work_(work), server_(loop, listen, {"hang", "drop_answer_after_effect"}) {
    server_.Route("POST", "/call/{operation}", [this](const Call& call) { Execute(call); });
    server_.Route("GET", "/executions", [this](const Call& call) { ListExecutions(call); });
  }
  net::Address address() const { return server_.address(); }

 private:
  void Execute(const Call& call) {
    const std::string key(net::FindHeader(call.request.headers, "idempotency-key"));
    if (key.empty()) {
      RespondError(call.responder, 400, "missing_key", "the Idempotency-Key header is required");
      return;
    }
    const std::string& operation = call.parameters[0];
    const std::uint64_t execution = ++executions_[{operation, key}];
    server_.Count("executions");
    server_.RecordMaximum("max_count", execution);
    if (server_.faults().Consume("hang")) {
      server_.Count("hanging");
      server_.LeaveUnanswered(call.responder);
      return;
    }
    if (server_.faults().Consume("drop_answer_after_effect")) {
      server_.Count("answers_dropped");
      CloseConnection(call.responder);
      return;
    }
    Json::Value body;
    body["ok"] = true;
    body["operation"] = operation;
    body["key"] = key;
    body["execution"] = static_cast<Json::UInt64>(execution);
    server_.After(work_, [responder = call.responder, body] { RespondJson(responder, 200, body); });
  }

  void ListExecutions(const Call& call) const {
    Json::Value body;
    body["executions"] = Json::Value(Json::arrayValue);
    std::uint64_t max_count = 0;
    for (const auto& [name, count] : executions_) {
      Json::Value entry;
      entry["operation"] = name.first;
      entry["key"] = name.second;
      entry["count"] = static_cast<Json::UInt64>(count);
      body["executions"].append(entry);
      max_count = std::max(max_count, count);
    }
    body["max_count"] = static_cast<Json::UInt64>(max_count);
    RespondJson(call.responder, 200, body);
  }

  std::chrono::milliseconds work_;
  std::map<std::pair<std::string, std::string>, std::uint64_t> executions_;
  FakeHttpServer server_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_FAKE_TOOLS_H_
