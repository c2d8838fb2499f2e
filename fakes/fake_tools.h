#ifndef FAKES_FAKE_TOOLS_H_
#define FAKES_FAKE_TOOLS_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "fakes/fake_http_server.h"

namespace acaciaspring::fakes {

/// @brief Tool service that counts every execution by operation and key and never removes
/// duplicates, so that a double execution is visible.
class FakeTools {
 public:
  FakeTools(net::Loop& loop, const net::Address& listen, std::chrono::milliseconds work)
      : work_(work), service_(loop, listen, {"hang", "drop_answer_after_effect"}) {
    service_.Route("POST", "/call/{operation}", [this](const Call& call) { Execute(call); });
    service_.Route("GET", "/executions", [this](const Call& call) { ListExecutions(call); });
  }
  net::Address address() const { return service_.address(); }

 private:
  void Execute(const Call& call) {
    const std::string key(net::FindHeader(call.request.headers, "idempotency-key"));
    if (key.empty()) {
      RespondError(call.responder, 400, "missing_key", "the Idempotency-Key header is required");
      return;
    }
    const std::string& operation = call.parameters[0];
    const std::uint64_t execution = ++executions_[{operation, key}];
    service_.Count("executions");
    service_.CountMaximum("max_count", execution);
    if (service_.faults().Take("hang")) {
      service_.Count("hanging");
      service_.HoldWithoutAnswer(call.responder);
      return;
    }
    if (service_.faults().Take("drop_answer_after_effect")) {
      service_.Count("answers_dropped");
      CloseConnection(call.responder);
      return;
    }
    Json::Value body;
    body["ok"] = true;
    body["operation"] = operation;
    body["key"] = key;
    body["execution"] = static_cast<Json::UInt64>(execution);
    service_.After(work_,
                   [responder = call.responder, body] { RespondJson(responder, 200, body); });
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
  FakeHttpServer service_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_FAKE_TOOLS_H_
