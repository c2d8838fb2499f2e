#include "fakes/engine_batch.h"

#include <algorithm>

namespace acaciaspring::fakes {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::uint64_t OutputKvTokens(const GenerationRequest& request) {
  return request.resume_from + request.output_tokens;
}

template <class Map>
typename Map::iterator FindById(Map& map, EngineBatch::RequestId id) {
  return std::find_if(map.begin(), map.end(),
                      [id](const auto& entry) { return entry.first.second == id; });
}

}  // namespace

EngineBatch::EngineBatch(const BatchOptions& options, PrefixCache& cache, Callbacks callbacks)
    : options_(options), cache_(cache), callbacks_(std::move(callbacks)) {}

std::uint64_t EngineBatch::KvTokensFor(const GenerationRequest& request,
                                       std::uint64_t cached) const {
  return CountTokens(request.prompt) - cached + OutputKvTokens(request);
}

bool EngineBatch::CanEverFit(const GenerationRequest& request) const {
  return KvTokensFor(request, 0) <= cache_.capacity();
}

EngineBatch::RequestId EngineBatch::Submit(GenerationRequest request) {
  const RequestId id = next_id_++;
  waiting_.emplace(std::pair(request.priority, id), std::move(request));
  Admit();
  return id;
}

bool EngineBatch::Cancel(RequestId id) {
  if (const auto waiting = FindById(waiting_, id); waiting != waiting_.end()) {
    waiting_.erase(waiting);
    return true;
  }
  const auto running = FindById(running_, id);
  if (running == running_.end()) {
    return false;
  }
  ReleaseMemory(running->second);
  running_.erase(running);
  Admit();
  return true;
}

void EngineBatch::Advance(Duration elapsed) {
  Admit();
  Prefill(elapsed);
  Decode(elapsed);
  Admit();
}

void EngineBatch::Admit() {
  while (!waiting_.empty() && running_.size() < options_.concurrency) {
    const auto next = waiting_.begin();
    RunningRequest running;
    running.request = next->second;
    const BlockChain& prompt = running.request.prompt;
    const auto matched = static_cast<std::ptrdiff_t>(cache_.Match(prompt));
    running.pinned.assign(prompt.begin(), prompt.begin() + matched);
    cache_.Pin(running.pinned);
    running.cached = CountTokens(running.pinned);
    running.reserved = KvTokensFor(running.request, running.cached);
    if (!cache_.Reserve(running.reserved)) {
      cache_.Unpin(running.pinned);
      return;
    }
    const std::uint64_t total = CountTokens(prompt) + running.request.resume_from;
    // The last prompt token is always computed, because it yields the first generated token.
    running.cached = std::min(running.cached, total > 0 ? total - 1 : 0);
    running.prefill_remaining = total - running.cached;
    cached_tokens_ += running.cached;
    running_.emplace(next->first, std::move(running));
    waiting_.erase(next);
    max_batch_ = std::max(max_batch_, running_.size());
  }
}

void EngineBatch::Prefill(Duration elapsed) {
  prefill_credit_ += options_.prefill_tokens_per_second * Seconds(elapsed);
  for (auto& [key, running] : running_) {
    if (running.prefill_remaining == 0) {
      continue;
    }
    const auto available = static_cast<std::uint64_t>(prefill_credit_);
    const std::uint64_t tokens = std::min(available, running.prefill_remaining);
    running.prefill_remaining -= tokens;
    prefill_credit_ -= static_cast<double>(tokens);
    prefill_computed_ += tokens;
    if (running.prefill_remaining > 0) {
      return;
    }
    FinishPrefill(running);
  }
  // Unused prefill capacity does not accumulate.
  prefill_credit_ = 0;
}

void EngineBatch::FinishPrefill(RunningRequest& running) {
  const std::uint64_t prompt_kv_tokens = running.reserved - OutputKvTokens(running.request);
  cache_.Unreserve(prompt_kv_tokens);
  running.reserved -= prompt_kv_tokens;
  BlockChain stored = running.request.prompt;
  stored.resize(cache_.Store(stored));
  cache_.Pin(stored);
  cache_.Unpin(running.pinned);
  running.pinned = std::move(stored);
  running.decode_credit = 1;
}

void EngineBatch::Decode(Duration elapsed) {
  std::vector<std::pair<RequestId, Usage>> finished;
  for (auto next = running_.begin(); next != running_.end();) {
    RunningRequest& running = next->second;
    const RequestId id = next->first.second;
    if (running.prefill_remaining > 0) {
      ++next;
      continue;
    }
    const std::uint64_t remaining = running.request.output_tokens - running.emitted;
    const auto count = std::min(remaining, static_cast<std::uint64_t>(running.decode_credit));
    running.decode_credit -= static_cast<double>(count);
    running.decode_credit += options_.decode_tokens_per_second * Seconds(elapsed);
    running.emitted += count;
    if (count > 0) {
      callbacks_.on_tokens(id, count);
    }
    if (running.emitted < running.request.output_tokens) {
      ++next;
      continue;
    }
    finished.emplace_back(id, Usage{CountTokens(running.request.prompt),
                                    running.request.resume_from + running.emitted, running.cached});
    ReleaseMemory(running);
    next = running_.erase(next);
  }
  for (const auto& [id, usage] : finished) {
    callbacks_.on_finished(id, usage);
  }
}

void EngineBatch::ReleaseMemory(const RunningRequest& running) {
  cache_.Unreserve(running.reserved);
  cache_.Unpin(running.pinned);
}

}  // namespace acaciaspring::fakes
