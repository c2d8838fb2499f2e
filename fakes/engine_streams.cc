#include <glog/logging.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "fakes/fake_engine.h"

namespace acaciaspring::fakes {

namespace {

// Invariant 8 of the design page: no new work later than this after the endpoint says it leaves.
constexpr Duration kLeavingGrace = std::chrono::seconds(3);
constexpr std::uint64_t kDefaultMaxTokens = 1024;

std::vector<Message> ParseMessages(const Json::Value& list) {
  std::vector<Message> messages;
  for (const Json::Value& message : list) {
    messages.push_back({message["role"].asString(), message["content"].asString()});
  }
  return messages;
}

std::string QuoteJson(const std::string& text) {
  return WriteJson(Json::Value(text));
}

std::string TokenEvent(const std::string& id, const std::string& content) {
  return "data: {\"id\":" + id +
         ",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":" +
         QuoteJson(content) + "}}]}\n\n";
}

std::string LastEvent(const std::string& id, bool limited, const Usage& usage) {
  Json::Value counts;
  counts["prompt_tokens"] = static_cast<Json::UInt64>(usage.prompt_tokens);
  counts["completion_tokens"] = static_cast<Json::UInt64>(usage.completion_tokens);
  counts["total_tokens"] = static_cast<Json::UInt64>(usage.prompt_tokens + usage.completion_tokens);
  counts["cached_tokens"] = static_cast<Json::UInt64>(usage.cached_tokens);
  return "data: {\"id\":" + id +
         ",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},"
         "\"finish_reason\":\"" +
         (limited ? "length" : "stop") + "\"}],\"usage\":" + WriteJson(counts) +
         "}\n\ndata: [DONE]\n\n";
}

}  // namespace

void FakeEngine::StartCompletion(const Call& call) {
  service_.Count("requests");
  if (leaving_ && service_.loop().Now() - leaving_since_ > kLeavingGrace) {
    service_.Count("requests_after_leaving_grace");
  }
  const std::optional<Json::Value> body = ParseJson(call.request.body);
  if (!body || !body->isObject() || !(*body)["messages"].isArray()) {
    RespondError(call.responder, 400, "invalid_body", "an object with messages is required");
    return;
  }
  if (!orders_.Serves(body->get("model", "").asString())) {
    service_.Count("wrong_model");
    RespondError(call.responder, 404, "model_not_served", "this engine does not serve the model");
    return;
  }
  Stream stream;
  stream.id = QuoteJson("chatcmpl-" + std::to_string(next_stream_++));
  stream.program = body->get("user", "").asString();
  stream.hold = body->get("hold", false).asBool();
  stream.messages = ParseMessages((*body)["messages"]);
  stream.responder = call.responder;
  const std::uint64_t max_tokens =
      body->get("max_tokens", static_cast<Json::UInt64>(kDefaultMaxTokens)).asUInt64();
  stream.words = AnswerWords(stream.messages, max_tokens);
  stream.limited = max_tokens < FullAnswerLength(stream.messages);
  const std::uint64_t resume_from = body->get("resume_from", 0).asUInt64();
  if (max_tokens == 0 || resume_from >= stream.words.size() ||
      (resume_from > 0 && !options_.can_resume)) {
    RespondError(call.responder, 400, "invalid_body", "max_tokens or resume_from is not possible");
    return;
  }
  stream.next_word = resume_from;
  const GenerationRequest request{.priority = body->get("priority", 0).asInt64(),
                                  .prompt = MakeChain(stream.messages),
                                  .resume_from = resume_from,
                                  .output_tokens = stream.words.size() - resume_from};
  if (!batch_.CanEverFit(request)) {
    RespondError(call.responder, 400, "too_large", "the request exceeds the KV memory");
    return;
  }
  acting_program_ = stream.program;
  const RequestId id = batch_.Submit(request);
  streams_.emplace(id, std::move(stream));
  call.responder->OnClosed([this, id] { Cancel(id); });
  ScheduleSteps();
}

void FakeEngine::SendTokens(RequestId id, std::uint64_t count) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    return;
  }
  Stream& stream = found->second;
  const auto cut_after = static_cast<std::uint64_t>(service_.faults().Value("cut_after_tokens"));
  std::string data;
  for (std::uint64_t token = 0; token < count; ++token) {
    if (cut_after > 0 && stream.sent >= cut_after) {
      break;
    }
    const std::string& word = stream.words[stream.next_word++];
    const bool last = stream.next_word == stream.words.size();
    data += TokenEvent(stream.id, last ? word : word + " ");
    ++stream.sent;
  }
  if (!stream.started) {
    stream.started = true;
    stream.responder->Start(200, {{"content-type", "text/event-stream"}});
  }
  stream.responder->Write(data);
  if (cut_after > 0 && stream.sent >= cut_after) {
    // The cut follows in the next step, when these tokens have left.
    to_cut_.push_back(id);
  }
}

void FakeEngine::FinishStream(RequestId id, const Usage& usage) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    return;
  }
  if (std::find(to_cut_.begin(), to_cut_.end(), id) != to_cut_.end()) {
    return;
  }
  Stream stream = std::move(found->second);
  streams_.erase(found);
  service_.Count("completed");
  acting_program_ = stream.program;
  // The KV of the answer was computed too, so the next turn of the program finds it.
  std::vector<Message> messages = std::move(stream.messages);
  messages.push_back({"assistant", JoinWords(stream.words)});
  const BlockChain chain = MakeChain(messages);
  cache_.Store(chain);
  if (stream.hold) {
    holds_.Hold(stream.program, chain);
  }
  stream.responder->Write(LastEvent(stream.id, stream.limited, usage));
  stream.responder->End();
}

void FakeEngine::CutStreams() {
  for (const RequestId id : std::exchange(to_cut_, {})) {
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
      continue;
    }
    service_.Count("cut");
    const net::HttpResponderPtr responder = found->second.responder;
    streams_.erase(found);
    batch_.Cancel(id);
    CloseConnection(responder);
  }
}

void FakeEngine::Cancel(RequestId id) {
  if (streams_.erase(id) > 0) {
    batch_.Cancel(id);
    service_.Count("cancelled");
  }
}

void FakeEngine::ScheduleSteps() {
  if (stepping_) {
    return;
  }
  stepping_ = true;
  last_step_ = service_.loop().Now();
  step_timer_ =
      service_.loop().Every(std::chrono::milliseconds(options_.step_ms), [this] { Step(); });
}

void FakeEngine::Step() {
  const MonotonicTime now = service_.loop().Now();
  const Duration elapsed = now - std::exchange(last_step_, now);
  if (service_.faults().On("freeze")) {
    return;
  }
  CutStreams();
  batch_.Advance(elapsed);
  service_.CountMaximum("max_batch", batch_.max_batch());
  if (batch_.idle() && to_cut_.empty()) {
    stepping_ = false;
    step_timer_.Cancel();
  }
}

}  // namespace acaciaspring::fakes
