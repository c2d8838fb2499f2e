#include <glog/logging.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "fakes/fake_engine.h"

namespace acaciaspring::fakes {

namespace {

// Invariant 8 of the design page: an endpoint receives no new requests later than this after it has
// reported that it is leaving.
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

std::string LastEvent(const std::string& id, bool length_limited, const Usage& usage) {
  Json::Value counts;
  counts["prompt_tokens"] = static_cast<Json::UInt64>(usage.prompt_tokens);
  counts["completion_tokens"] = static_cast<Json::UInt64>(usage.completion_tokens);
  counts["total_tokens"] = static_cast<Json::UInt64>(usage.prompt_tokens + usage.completion_tokens);
  counts["cached_tokens"] = static_cast<Json::UInt64>(usage.cached_tokens);
  return "data: {\"id\":" + id +
         ",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},"
         "\"finish_reason\":\"" +
         (length_limited ? "length" : "stop") + "\"}],\"usage\":" + WriteJson(counts) +
         "}\n\ndata: [DONE]\n\n";
}

}  // namespace

void FakeEngine::StartCompletion(const Call& call) {
  server_.Count("requests");
  if (leaving_ && server_.loop().Now() - leaving_since_ > kLeavingGrace) {
    server_.Count("requests_after_leaving_grace");
  }
  const std::optional<Json::Value> body = ParseJson(call.request.body);
  if (!body || !body->isObject() || !(*body)["messages"].isArray()) {
    RespondError(call.responder, 400, "invalid_body",
                 "body must be a JSON object with an array of messages");
    return;
  }
  if (!orders_.Serves(body->get("model", "").asString())) {
    server_.Count("wrong_model");
    RespondError(call.responder, 404, "model_not_served", "this engine does not serve the model");
    return;
  }
  Stream stream;
  stream.id = QuoteJson("chatcmpl-" + std::to_string(next_stream_number_++));
  stream.program = body->get("user", "").asString();
  stream.hold = body->get("hold", false).asBool();
  stream.messages = ParseMessages((*body)["messages"]);
  stream.responder = call.responder;
  const std::uint64_t max_tokens =
      body->get("max_tokens", static_cast<Json::UInt64>(kDefaultMaxTokens)).asUInt64();
  stream.words = AnswerWords(stream.messages, max_tokens);
  stream.length_limited = max_tokens < FullAnswerLength(stream.messages);
  const std::uint64_t resume_from = body->get("resume_from", 0).asUInt64();
  if (max_tokens == 0 || resume_from >= stream.words.size() ||
      (resume_from > 0 && !options_.can_resume)) {
    RespondError(call.responder, 400, "invalid_body",
                 "max_tokens must be positive, and resume_from within the answer and supported");
    return;
  }
  stream.next_word = resume_from;
  const GenerationRequest request{.priority = body->get("priority", 0).asInt64(),
                                  .prompt = MakeChain(stream.messages),
                                  .resume_from = resume_from,
                                  .output_tokens = stream.words.size() - resume_from};
  if (!batch_.CanEverFit(request)) {
    RespondError(call.responder, 400, "too_large", "request exceeds the capacity of the KV cache");
    return;
  }
  current_program_ = stream.program;
  const RequestId id = batch_.Submit(request);
  streams_.emplace(id, std::move(stream));
  call.responder->OnClosed([this, id] { Cancel(id); });
  StartStepTimer();
}

void FakeEngine::SendTokens(RequestId id, std::uint64_t count) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    return;
  }
  Stream& stream = found->second;
  const auto cut_after = static_cast<std::uint64_t>(server_.faults().Value("cut_after_tokens"));
  std::string data;
  for (std::uint64_t token = 0; token < count; ++token) {
    if (cut_after > 0 && stream.sent_tokens >= cut_after) {
      break;
    }
    const std::string& word = stream.words[stream.next_word++];
    const bool last = stream.next_word == stream.words.size();
    data += TokenEvent(stream.id, last ? word : word + " ");
    ++stream.sent_tokens;
  }
  if (!stream.response_started) {
    stream.response_started = true;
    stream.responder->Start(200, {{"content-type", "text/event-stream"}});
  }
  stream.responder->Write(data);
  if (cut_after > 0 && stream.sent_tokens >= cut_after) {
    // The connection is closed in the next step, after these tokens have been sent.
    streams_to_cut_.push_back(id);
  }
}

void FakeEngine::FinishStream(RequestId id, const Usage& usage) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    return;
  }
  if (std::find(streams_to_cut_.begin(), streams_to_cut_.end(), id) != streams_to_cut_.end()) {
    return;
  }
  Stream stream = std::move(found->second);
  streams_.erase(found);
  server_.Count("completed");
  current_program_ = stream.program;
  // The KV entries of the answer were computed as well, so the next turn of the program reuses
  // them.
  std::vector<Message> messages = std::move(stream.messages);
  messages.push_back({"assistant", JoinWords(stream.words)});
  const BlockChain chain = MakeChain(messages);
  cache_.Store(chain);
  if (stream.hold) {
    holds_.Hold(stream.program, chain);
  }
  stream.responder->Write(LastEvent(stream.id, stream.length_limited, usage));
  stream.responder->End();
}

void FakeEngine::CutStreams() {
  for (const RequestId id : std::exchange(streams_to_cut_, {})) {
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
      continue;
    }
    server_.Count("cut");
    const net::HttpResponderPtr responder = found->second.responder;
    streams_.erase(found);
    batch_.Cancel(id);
    CloseConnection(responder);
  }
}

void FakeEngine::Cancel(RequestId id) {
  if (streams_.erase(id) > 0) {
    batch_.Cancel(id);
    server_.Count("cancelled");
  }
}

void FakeEngine::StartStepTimer() {
  if (step_timer_running_) {
    return;
  }
  step_timer_running_ = true;
  last_step_ = server_.loop().Now();
  step_timer_ =
      server_.loop().Every(std::chrono::milliseconds(options_.step_ms), [this] { Step(); });
}

void FakeEngine::Step() {
  const MonotonicTime now = server_.loop().Now();
  const Duration elapsed = now - std::exchange(last_step_, now);
  if (server_.faults().IsOn("freeze")) {
    return;
  }
  CutStreams();
  batch_.Advance(elapsed);
  server_.RecordMaximum("max_batch", batch_.max_batch());
  if (batch_.idle() && streams_to_cut_.empty()) {
    step_timer_running_ = false;
    step_timer_.Cancel();
  }
}

}  // namespace acaciaspring::fakes
