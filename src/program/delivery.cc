#include <algorithm>
#include <utility>

#include "src/program/home_impl.h"

namespace acaciaspring::program {

namespace {

constexpr std::uint32_t kLogUnavailableRetryMs = 500;
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
      return kLogUnavailableRetryMs;
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

void HomeImpl::NotifyFinished(Call& call,
                              const Outcome& outcome,
                              const std::string& body,
                              wire::Usage usage) {
  for (const Subscription& subscription : call.subscriptions) {
    actions_.push_back(SendFinished{subscription.subscriber, outcome, body, usage});
  }
  call.subscriptions.clear();
}

void HomeImpl::NotifyWrongOwner(const Call& call) {
  const journal::ShardOwner* owner = state_.OwnerOf(ShardOf(call.request.program));
  for (const Subscription& subscription : call.subscriptions) {
    actions_.push_back(SendWrongOwner{subscription.subscriber,
                                      owner == nullptr ? DaemonId() : owner->daemon,
                                      owner == nullptr ? Epoch() : owner->epoch});
  }
}

bool HomeImpl::DeliverTo(Subscription& subscription, const std::string& answer) {
  if (!subscription.resume_verified) {
    if (answer.size() < subscription.resume.bytes) {
      return true;
    }
    const std::string_view received = std::string_view(answer).substr(0, subscription.resume.bytes);
    if (subscription.resume.bytes > 0 && Hash64(received) != subscription.resume.hash) {
      actions_.push_back(
          SendFinished{subscription.subscriber, Failed{FailureReason::kAnswerChanged}, "", {}});
      return false;
    }
    subscription.resume_verified = true;
    subscription.sent = subscription.resume.bytes;
  }
  if (answer.size() > subscription.sent) {
    actions_.push_back(SendEvent{subscription.subscriber, subscription.sent,
                                 answer.substr(subscription.sent), Hash64(answer)});
    subscription.sent = answer.size();
  }
  return true;
}

void HomeImpl::Deliver(RunningCall& running) {
  std::erase_if(running.call.subscriptions, [&](Subscription& subscription) {
    return !DeliverTo(subscription, running.answer);
  });
}

// An answer must never combine text of two different attempts. If the text of a later attempt
// differs from the answer so far, the subscribers that have received a part of it are sent
// kAnswerChanged.
void HomeImpl::MergeAttempt(RunningCall& running, bool complete) {
  const std::string& attempt = running.attempt_text;
  const std::size_t common = std::min(attempt.size(), running.answer.size());
  const bool consistent = attempt.compare(0, common, running.answer, 0, common) == 0 &&
                          (!complete || attempt.size() >= running.answer.size());
  if (consistent) {
    if (attempt.size() > running.answer.size()) {
      running.answer = attempt;
    }
    return;
  }
  std::erase_if(running.call.subscriptions, [&](const Subscription& subscription) {
    if (subscription.sent == 0 && subscription.resume.bytes == 0) {
      return false;
    }
    actions_.push_back(
        SendFinished{subscription.subscriber, Failed{FailureReason::kAnswerChanged}, "", {}});
    return true;
  });
  running.answer = attempt;
}

bool HomeImpl::ReplayResult(const Subscriber& from, const wire::CallRequest& request) {
  const journal::Program* program = FindVisibleProgram(request);
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
    Subscription subscription{from, request.resume};
    if (DeliverTo(subscription, turn->answer)) {
      const bool truncated = turn->usage.completion >= call->max_tokens;
      actions_.push_back(
          SendFinished{from, Completed{}, truncated ? kFinishLength : kFinishStop, turn->usage});
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
