#include <utility>

#include "src/program/home_impl.h"

namespace acaciaspring::program {

Home::Home(const journal::State& state, HomeOptions options)
    : impl_(std::make_unique<HomeImpl>(state, std::move(options))) {}

Home::~Home() = default;

void Home::SetLimits(Limits limits) {
  impl_->limits_ = std::move(limits);
}

void Home::SetLogAvailable(bool available) {
  impl_->log_available_ = available;
}

void Home::SetDraining(ShardId shard, bool draining) {
  if (draining) {
    impl_->draining_.insert(shard);
  } else {
    impl_->draining_.erase(shard);
  }
}

Actions Home::OnCall(MonotonicTime now, Subscriber from, const wire::CallRequest& request) {
  impl_->now_ = now;
  impl_->OnCall(from, request);
  return impl_->TakeActions();
}

void Home::OnCallCancelled(Subscriber from) {
  impl_->RemoveSubscriptions([&](const Subscriber& subscriber) { return subscriber == from; });
}

void Home::OnChannelClosed(std::uint64_t channel) {
  impl_->RemoveSubscriptions(
      [&](const Subscriber& subscriber) { return subscriber.channel == channel; });
}

Actions Home::OnVerdict(MonotonicTime now, AppendId append, const journal::Verdict& verdict) {
  impl_->now_ = now;
  impl_->OnVerdict(append, verdict);
  return impl_->TakeActions();
}

Actions Home::OnDispatchEvent(MonotonicTime now,
                              ExchangeId attempt,
                              std::uint64_t index,
                              std::string_view text) {
  impl_->now_ = now;
  impl_->OnDispatchEvent(attempt, index, text);
  return impl_->TakeActions();
}

Actions Home::OnDispatchFinished(MonotonicTime now,
                                 ExchangeId attempt,
                                 const Outcome& outcome,
                                 std::string body,
                                 wire::Usage usage) {
  impl_->now_ = now;
  impl_->OnDispatchFinished(attempt, outcome, std::move(body), usage);
  return impl_->TakeActions();
}

Actions Home::OnOwnershipChanged() {
  impl_->OnOwnershipChanged();
  return impl_->TakeActions();
}

Actions Home::Tick(MonotonicTime now) {
  impl_->now_ = now;
  impl_->Tick();
  return impl_->TakeActions();
}

std::set<ShardId> Home::BusyShards() const {
  std::set<ShardId> shards;
  for (const auto& [program, calls] : impl_->programs_) {
    shards.insert(ShardOf(program));
  }
  return shards;
}

std::size_t Home::active_calls() const {
  std::size_t count = 0;
  for (const auto& [program, calls] : impl_->programs_) {
    count += calls.queue.size() + (calls.running.has_value() ? 1 : 0);
  }
  return count;
}

}  // namespace acaciaspring::program
