#include <algorithm>
#include <utility>

#include "src/program/home_impl.h"

namespace acaciaspring::program {

namespace {

constexpr std::uint32_t kLogRetryMs = 500;
constexpr std::uint32_t kOverloadRetryMs = 200;

const journal::Turn* FindTurn(const journal::Program& program, const IdempotencyKey& key) {
  const auto result = program.results.find(key);
  if (result == program.results.end()) {
    return nullptr;
  }
  const auto* turn = std::get_if<journal::TurnResult>(&result->second);
  return turn == nullptr ? nullptr : &program.turns.at(turn->turn.value() - 1);
}

const journal::ToolResult* FindToolResult(const journal::Program& program,
                                          const IdempotencyKey& key) {
  const auto result = program.results.find(key);
  return result == program.results.end() ? nullptr
                                         : std::get_if<journal::ToolResult>(&result->second);
}

const journal::Effect* FindEffect(const journal::Program& program, const IdempotencyKey& key) {
  const auto effect = program.effects.find(key);
  return effect == program.effects.end() ? nullptr : &effect->second;
}

}  // namespace

std::uint32_t HomeImpl::RetryDelay(NotRunReason reason) const {
  switch (reason) {
    case NotRunReason::kOwnerUnavailable:
      return options_.retry_after_ms;
    case NotRunReason::kLogUnavailable:
      return kLogRetryMs;
    case NotRunReason::kQueueFull:
    case NotRunReason::kOverloaded:
      return kOverloadRetryMs;
    default:
      return 0;
  }
}

void HomeImpl::Refuse(const Subscriber& to, NotRunReason reason) {
  actions_.push_back(SendFinished{to, NotRun{reason, RetryDelay(reason)}, "", {}});
}

void HomeImpl::Tell(Call& call,
                    const Outcome& outcome,
                    const std::string& body,
                    wire::Usage usage) {
  for (const Listener& listener : call.listeners) {
    actions_.push_back(SendFinished{listener.subscriber, outcome, body, usage});
  }
  call.listeners.clear();
}

void HomeImpl::TellWrongOwner(const Call& call) {
  const journal::ShardOwner* owner = state_.OwnerOf(ShardOf(call.request.program));
  for (const Listener& listener : call.listeners) {
    actions_.push_back(SendWrongOwner{listener.subscriber,
                                      owner == nullptr ? DaemonId() : owner->daemon,
                                      owner == nullptr ? Epoch() : owner->epoch});
  }
}

bool HomeImpl::DeliverTo(Listener& listener, const std::string& answer) {
  if (!listener.verified) {
    if (answer.size() < listener.resume.bytes) {
      return true;
    }
    const std::string_view known = std::string_view(answer).substr(0, listener.resume.bytes);
    if (listener.resume.bytes > 0 && Hash64(known) != listener.resume.hash) {
      actions_.push_back(
          SendFinished{listener.subscriber, Failed{FailureReason::kAnswerChanged}, "", {}});
      return false;
    }
    listener.verified = true;
    listener.sent = listener.resume.bytes;
  }
  if (answer.size() > listener.sent) {
    actions_.push_back(SendEvent{listener.subscriber, listener.sent, answer.substr(listener.sent),
                                 Hash64(answer)});
    listener.sent = answer.size();
  }
  return true;
}

void HomeImpl::Deliver(RunningCall& running) {
  std::erase_if(running.call.listeners,
                [&](Listener& listener) { return !DeliverTo(listener, running.answer); });
}

// A later attempt must repeat what listeners already have; those that have a different text are
// told to drop it, because an answer must never be put together from two attempts.
void HomeImpl::MergeAttempt(RunningCall& running, bool complete) {
  const std::string& attempt = running.attempt_text;
  const std::size_t common = std::min(attempt.size(), running.answer.size());
  const bool same = attempt.compare(0, common, running.answer, 0, common) == 0 &&
                    (!complete || attempt.size() >= running.answer.size());
  if (same) {
    if (attempt.size() > running.answer.size()) {
      running.answer = attempt;
    }
    return;
  }
  std::erase_if(running.call.listeners, [&](const Listener& listener) {
    if (listener.sent == 0 && listener.resume.bytes == 0) {
      return false;
    }
    actions_.push_back(
        SendFinished{listener.subscriber, Failed{FailureReason::kAnswerChanged}, "", {}});
    return true;
  });
  running.answer = attempt;
}

bool HomeImpl::Replay(const Subscriber& from, const wire::CallRequest& request) {
  const journal::Program* program = VisibleProgram(request);
  if (program == nullptr) {
    return false;
  }
  if (const auto* call = std::get_if<wire::ModelCall>(&request.operation)) {
    const journal::Turn* turn = FindTurn(*program, request.key);
    if (turn == nullptr) {
      return false;
    }
    if (turn->messages != call->messages || turn->model != call->model) {
      Refuse(from, NotRunReason::kKeyConflict);
      return true;
    }
    Listener listener{from, request.resume};
    if (DeliverTo(listener, turn->answer)) {
      const bool cut = turn->usage.completion >= call->max_tokens;
      actions_.push_back(
          SendFinished{from, Completed{}, cut ? kFinishLength : kFinishStop, turn->usage});
    }
    return true;
  }
  if (const auto* call = std::get_if<wire::ToolCall>(&request.operation)) {
    if (const journal::ToolResult* result = FindToolResult(*program, request.key)) {
      if (result->service != call->service) {
        Refuse(from, NotRunReason::kKeyConflict);
      } else {
        actions_.push_back(SendFinished{from, result->outcome, result->body, {}});
      }
      return true;
    }
    const journal::Effect* effect = FindEffect(*program, request.key);
    if (effect == nullptr) {
      return false;
    }
    if (effect->service != call->service || effect->request_digest != HashHex(call->body)) {
      Refuse(from, NotRunReason::kKeyConflict);
      return true;
    }
    if (effect->state == journal::EffectState::kIntended) {
      actions_.push_back(SendFinished{from, Unknown{UnknownReason::kIntentWithoutEnd}, "", {}});
      return true;
    }
    if (std::holds_alternative<NotRun>(effect->outcome)) {
      return false;
    }
    actions_.push_back(SendFinished{from, effect->outcome, effect->body, {}});
    return true;
  }
  return false;
}

}  // namespace acaciaspring::program
