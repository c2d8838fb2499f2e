#include "src/load/first_token_comparison.h"

#include <glog/logging.h>

#include <utility>

#include "fakes/json_text.h"

namespace acaciaspring::load {

namespace {

// Prompts of both paths have the same length, so that the engine computes the same number of prompt
// tokens.
constexpr int kPromptWords = 50;

}  // namespace

FirstTokenComparison::FirstTokenComparison(const LoadContext& context,
                                           std::function<void()> on_done)
    : context_(context), on_done_(std::move(on_done)) {}

std::vector<fakes::Message> FirstTokenComparison::MakeMessages(const std::string& path,
                                                               std::uint64_t index) const {
  std::string text = context_.options.run_id + "-" + path + std::to_string(index);
  for (int word = 1; word < kPromptWords; ++word) {
    text += " w" + std::to_string(word);
  }
  return {{"user", text}};
}

std::string FirstTokenComparison::MakeBody(const std::vector<fakes::Message>& messages,
                                           const std::string& user) const {
  Json::Value body;
  body["model"] = context_.options.model;
  body["max_tokens"] = static_cast<Json::UInt64>(context_.options.max_tokens);
  body["stream"] = true;
  for (const fakes::Message& message : messages) {
    Json::Value entry;
    entry["role"] = message.role;
    entry["content"] = message.content;
    body["messages"].append(entry);
  }
  if (!user.empty()) {
    body["user"] = user;
    body["priority"] = 0;
  }
  return fakes::WriteJson(body);
}

std::shared_ptr<RetryingCall> FirstTokenComparison::Send(CallSpec spec,
                                                         RetryingCall::OnDone on_done) {
  spec.organisation_key = context_.options.organisation_keys.front();
  auto call = std::make_shared<RetryingCall>(context_, std::move(spec), std::move(on_done));
  calls_.push_back(call);
  call->Start();
  return call;
}

void FirstTokenComparison::Start() {
  CreateNextProgram();
}

void FirstTokenComparison::CreateNextProgram() {
  if (programs_created_ == context_.options.programs) {
    const auto half_period = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(0.5 / context_.options.rate));
    send_timer_ = context_.loop.Every(half_period, [this] { SendNextCall(); });
    return;
  }
  const std::string name =
      context_.options.run_id + "-compare-" + std::to_string(programs_created_++);
  Json::Value body;
  body["class"] = context_.options.classes.front().name;
  body["budget_tokens"] = static_cast<Json::UInt64>(context_.options.budget);
  body["max_calls"] = 10;
  Send({.target = "/v1/programs", .idempotency_key = name, .body = fakes::WriteJson(body)},
       [this](const CallResult& result) {
         const std::optional<Json::Value> response = fakes::ParseJson(result.body);
         const bool created = result.outcome == CallOutcome::kCompleted && response &&
                              response->isObject() && (*response)["program"].isString();
         programs_.push_back(created ? (*response)["program"].asString() : "");
         context_.loop.Post([this] { CreateNextProgram(); });
       });
}

void FirstTokenComparison::SendNextCall() {
  const std::uint64_t call_index = calls_sent_++;
  if (calls_sent_ == 2 * context_.options.programs) {
    send_timer_.Cancel();
  }
  if (call_index % 2 == 0) {
    SendDirect(call_index / 2);
  } else {
    SendThroughEntries(call_index / 2);
  }
}

void FirstTokenComparison::SendDirect(std::uint64_t index) {
  DirectCall& direct = direct_calls_[index];
  direct.started = context_.loop.Now();
  direct.parser = std::make_unique<SseParser>([this, &direct](const SseEvent& event) {
    direct.answer.AddEvent(event);
    if (!direct.first_token_seen && direct.answer.has_content()) {
      direct.first_token_seen = true;
      direct_latency_.Add(context_.loop.Now() - direct.started);
    }
  });
  direct.call = context_.client.Send(
      {.server = *context_.options.direct,
       .method = "POST",
       .target = "/v1/chat/completions",
       .headers = {{"content-type", "application/json"}},
       .body = MakeBody(MakeMessages("direct", index), "direct-" + std::to_string(index)),
       .io_timeout = std::chrono::milliseconds(context_.options.io_timeout_ms)},
      {.on_head = nullptr,
       .on_data = [&direct](std::string_view data) { direct.parser->Feed(data); },
       .on_done = [this, index](const net::HttpResult&) { OnDirectDone(index); }});
}

void FirstTokenComparison::OnDirectDone(std::uint64_t index) {
  CheckAnswer(direct_calls_[index].answer, MakeMessages("direct", index));
  OnCallDone();
}

void FirstTokenComparison::SendThroughEntries(std::uint64_t index) {
  if (programs_[index].empty()) {
    ++calls_without_answer_;
    OnCallDone();
    return;
  }
  const std::vector<fakes::Message> messages = MakeMessages("entries", index);
  Send({.target = "/v1/programs/" + programs_[index] + "/chat/completions",
        .idempotency_key = context_.options.run_id + "-compare-turn-" + std::to_string(index),
        .body = MakeBody(messages, ""),
        .streaming = true},
       [this, messages](const CallResult& result) {
         if (result.first_token_latency) {
           entries_latency_.Add(*result.first_token_latency);
         }
         CheckAnswer(result.answer, messages);
         OnCallDone();
       });
}

void FirstTokenComparison::CheckAnswer(const AnswerCollector& answer,
                                       const std::vector<fakes::Message>& messages) {
  if (!answer.done()) {
    ++calls_without_answer_;
    return;
  }
  const std::string difference = answer.FindDifference(messages, context_.options.max_tokens);
  if (!difference.empty()) {
    ++context_.report.answers_incomplete;
    LOG(ERROR) << "wrong answer: " << difference;
  }
}

void FirstTokenComparison::OnCallDone() {
  if (++calls_done_ == 2 * context_.options.programs) {
    context_.loop.Post([this] { EndNextProgram(); });
  }
}

void FirstTokenComparison::EndNextProgram() {
  if (programs_ended_ == programs_.size()) {
    on_done_();
    return;
  }
  const std::string program = programs_[programs_ended_++];
  if (program.empty()) {
    EndNextProgram();
    return;
  }
  Send({.method = "DELETE", .target = "/v1/programs/" + program},
       [this](const CallResult&) { context_.loop.Post([this] { EndNextProgram(); }); });
}

void FirstTokenComparison::Print(std::ostream& out) const {
  out << "direct_calls " << direct_latency_.count() << " count\n";
  out << "entries_calls " << entries_latency_.count() << " count\n";
  out << "calls_without_answer " << calls_without_answer_ << " count\n";
  out << "answers_incomplete " << context_.report.answers_incomplete << " count\n";
  for (const auto& [name, fraction] : {std::pair("p50", 0.50), std::pair("p99", 0.99)}) {
    const Duration direct = direct_latency_.Percentile(fraction);
    const Duration entries = entries_latency_.Percentile(fraction);
    PrintLatency(std::string("first_token_direct_") + name, direct, out);
    PrintLatency(std::string("first_token_entries_") + name, entries, out);
    PrintLatency(std::string("first_token_added_") + name, entries - direct, out);
  }
}

}  // namespace acaciaspring::load
