#include "src/gateway/buffer_monitor.h"

#include <vector>

namespace acaciaspring::gateway {

namespace {

// Writes are counted at once; what callers have read in the meantime is found by this check. It
// costs a few system calls for each connection with buffered bytes.
constexpr Duration kSamplePeriod = std::chrono::milliseconds(100);
// After a choice that cannot bring the bytes below the threshold, the next one waits for this time.
constexpr Duration kChoicePeriod = std::chrono::milliseconds(10);
// A pause between refusals that is shorter than this belongs to one period of refusing in the log.
constexpr Duration kQuietTime = std::chrono::seconds(1);

std::int64_t ToMs(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

BufferMonitor::BufferMonitor(net::Loop& loop,
                             std::optional<std::size_t> memory_bytes,
                             telemetry::EventLog& events,
                             telemetry::Registry& metrics)
    : loop_(loop), events_(events), metrics_(metrics) {
  if (memory_bytes) {
    budget_.emplace(*memory_bytes);
    held_bytes_ = std::make_shared<std::size_t>(0);
    metrics_
        .GetGauge("acaciaspring_buffered_bytes_limit",
                  "Buffered bytes above which new requests are refused")
        .Set(static_cast<double>(budget_->refusal_threshold()));
    timer_ = loop_.Every(kSamplePeriod, [this] { Sample(); });
  }
}

bool BufferMonitor::AcceptRequest() {
  if (!budget_) {
    return true;
  }
  UpdateOtherBytes();
  if (budget_->AcceptsRequests()) {
    return true;
  }
  const MonotonicTime now = loop_.Now();
  if (refusals_ == 0) {
    refusing_since_ = now;
    events_.Write("memory_limited",
                  {{"state", "refusing"},
                   {"buffered_bytes", static_cast<std::int64_t>(budget_->buffered_bytes())},
                   {"limit_bytes", static_cast<std::int64_t>(budget_->refusal_threshold())},
                   {"responses", static_cast<std::int64_t>(responses_.size())}});
  }
  ++refusals_;
  last_refusal_ = now;
  metrics_
      .GetCounter("acaciaspring_memory_refusals_total",
                  "Requests refused because the daemon buffers too many bytes")
      .Increment();
  return false;
}

void BufferMonitor::OnWritten(BufferId id,
                              const net::HttpResponderPtr& responder,
                              std::function<void()> on_close) {
  if (!budget_) {
    return;
  }
  const auto found = responses_.find(id.value());
  const bool is_new = found == responses_.end();
  if (is_new && responder->buffered_bytes() == 0) {
    return;
  }
  Response& response = responses_[id.value()];
  response.responder = responder;
  response.on_close = std::move(on_close);
  Update(id, response, /*measure_delivery=*/is_new);
  UpdateOtherBytes();
  if (budget_->IsOverClosingThreshold() && loop_.Now() >= next_choice_) {
    CloseSlowest();
  }
}

void BufferMonitor::OnEnded(BufferId id, const net::HttpResponderPtr& responder) {
  if (!budget_) {
    return;
  }
  Response& response = responses_[id.value()];
  response = {.responder = responder, .on_close = nullptr, .complete = true};
  Update(id, response, /*measure_delivery=*/true);
}

void BufferMonitor::Update(BufferId id, Response& response, bool measure_delivery) {
  const net::HttpResponderPtr responder = response.responder.lock();
  const std::size_t bytes = responder == nullptr ? 0 : responder->buffered_bytes();
  if (bytes == 0) {
    budget_->Remove(id);
    responses_.erase(id.value());
    return;
  }
  if (measure_delivery) {
    response.delivered_bytes = responder->delivered_bytes();
  }
  budget_->Update(id,
                  {.buffered_bytes = bytes,
                   .delivered_bytes = response.delivered_bytes,
                   .complete = response.complete},
                  loop_.Now());
}

void BufferMonitor::UpdateOtherBytes() {
  budget_->SetOtherBytes(*held_bytes_ + queued_for_peers_);
}

void BufferMonitor::Sample() {
  std::vector<std::uint64_t> ids;
  ids.reserve(responses_.size());
  for (const auto& [id, response] : responses_) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    Update(BufferId(id), responses_.at(id), /*measure_delivery=*/true);
  }
  queued_for_peers_ = peer_bytes_ ? peer_bytes_() : 0;
  UpdateOtherBytes();
  if (budget_->IsOverClosingThreshold()) {
    CloseSlowest();
  }
  metrics_
      .GetGauge("acaciaspring_buffered_bytes",
                "Bytes of requests, responses and messages in the memory of the daemon")
      .Set(static_cast<double>(budget_->buffered_bytes()));
  ReportRefusals();
}

void BufferMonitor::CloseSlowest() {
  next_choice_ = loop_.Now();
  const std::size_t before = budget_->buffered_bytes();
  std::int64_t closed = 0;
  std::int64_t complete = 0;
  for (const BufferId id : budget_->ChooseToClose(loop_.Now())) {
    const auto node = responses_.extract(id.value());
    budget_->Remove(id);
    if (node.empty()) {
      continue;
    }
    const Response& response = node.mapped();
    ++closed;
    complete += response.complete ? 1 : 0;
    if (response.on_close) {
      response.on_close();
    } else if (const auto responder = response.responder.lock()) {
      responder->Discard();
    }
  }
  if (budget_->IsOverClosingThreshold()) {
    next_choice_ = loop_.Now() + kChoicePeriod;
  }
  if (closed > 0) {
    metrics_
        .GetCounter("acaciaspring_slow_connections_closed_total",
                    "Connections closed because the daemon buffers too many bytes")
        .Increment(static_cast<std::uint64_t>(closed));
    events_.Write("slow_connections_closed",
                  {{"connections", closed},
                   {"complete", complete},
                   {"buffered_bytes", static_cast<std::int64_t>(before)},
                   {"limit_bytes", static_cast<std::int64_t>(budget_->closing_threshold())}});
  }
}

void BufferMonitor::ReportRefusals() {
  const MonotonicTime now = loop_.Now();
  if (refusals_ == 0 || !budget_->AcceptsRequests() || now - last_refusal_ < kQuietTime) {
    return;
  }
  events_.Write(
      "memory_limited",
      {{"state", "accepting"},
       {"refusals", static_cast<std::int64_t>(refusals_)},
       {"refusing_ms", ToMs(std::chrono::duration_cast<Duration>(last_refusal_ - refusing_since_))},
       {"buffered_bytes", static_cast<std::int64_t>(budget_->buffered_bytes())}});
  refusals_ = 0;
}

}  // namespace acaciaspring::gateway
