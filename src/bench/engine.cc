#include "src/bench/engine.h"

#include <algorithm>
#include <cmath>

namespace acaciaspring::bench {

void Engine::EraseEntry(PrefixId prefix, bool report_eviction) {
  const auto found = cache_entries_.find(prefix);
  cached_tokens_ -= found->second.tokens;
  recency_.erase(found->second.recency);
  cache_entries_.erase(found);
  if (report_eviction) {
    events_.push_back({.sequence = ++sequence_, .prefix = prefix, .tokens = TokenCount(0)});
  }
}

void Engine::EvictToCapacity(double now) {
  // Held entries are evicted only if no other unpinned entry is left.
  for (const bool respect_holds : {true, false}) {
    auto cursor = recency_.end();
    while (kv_used() > options_.kv_capacity && cursor != recency_.begin()) {
      const PrefixId prefix = *--cursor;
      const CacheEntry& entry = cache_entries_.at(prefix);
      if (entry.pins == 0 && !(respect_holds && entry.held_until > now)) {
        ++cursor;
        EraseEntry(prefix, true);
      }
    }
  }
}

void Engine::Store(PrefixId prefix,
                   std::uint32_t tokens,
                   std::uint32_t reported_tokens,
                   double now) {
  const auto [found, added] = cache_entries_.try_emplace(prefix);
  CacheEntry& entry = found->second;
  if (added) {
    entry.recency = recency_.insert(recency_.begin(), prefix);
  } else {
    recency_.splice(recency_.begin(), recency_, entry.recency);
  }
  cached_tokens_ += tokens - entry.tokens;
  entry.tokens = tokens;
  entry.reported_tokens = reported_tokens;
  events_.push_back(
      {.sequence = ++sequence_, .prefix = prefix, .tokens = TokenCount(reported_tokens)});
  EvictToCapacity(now);
}

const Stream& Engine::Start(Stream stream, double now) {
  const auto shared = cache_entries_.find(stream.shared_prefix);
  const std::uint32_t context_tokens = stream.prompt + stream.generated;
  stream.cached = 0;
  stream.pinned = false;
  if (shared != cache_entries_.end()) {
    stream.cached = shared->second.tokens;
    ++shared->second.pins;
    stream.pinned = true;
    recency_.splice(recency_.begin(), recency_, shared->second.recency);
  }
  if (const auto own = cache_entries_.find(stream.program_prefix); own != cache_entries_.end()) {
    // The tokens of the program can be reused only together with the shared prefix before them.
    if (shared != cache_entries_.end()) {
      stream.cached += own->second.tokens;
    }
    EraseEntry(stream.program_prefix, false);
  }
  stream.cached = std::min(stream.cached, context_tokens);
  const std::uint32_t imported = std::max(stream.exported_tokens, stream.cached) - stream.cached;
  stream.prefill_remaining =
      context_tokens - stream.cached - imported +
      imported * options_.prefill_tokens_per_second / options_.export_tokens_per_second;
  // The last prompt token is always computed, even if the whole prompt is cached.
  stream.prefill_remaining = std::max(stream.prefill_remaining, 1.0);
  stream.private_tokens =
      context_tokens - (stream.pinned ? std::min(context_tokens, stream.shared_tokens) : 0);
  stream_tokens_ += stream.private_tokens;
  streams_.push_back(stream);
  EvictToCapacity(now);
  return streams_.back();
}

std::size_t Engine::NextPrefill() const {
  std::size_t next = streams_.size();
  for (std::size_t i = 0; i < streams_.size(); ++i) {
    if (streams_[i].prefill_remaining > 0 &&
        (next == streams_.size() || streams_[i].rank < streams_[next].rank)) {
      next = i;
    }
  }
  return next;
}

double Engine::BeginStep(StepResult& result) const {
  double chunk_left = options_.prefill_chunk_tokens;
  std::size_t decoding = 0;
  std::vector<const Stream*> waiting;
  for (const Stream& stream : streams_) {
    if (stream.prefill_remaining > 0) {
      waiting.push_back(&stream);
    } else {
      ++decoding;
    }
  }
  std::ranges::stable_sort(waiting, {}, &Stream::rank);
  for (const Stream* stream : waiting) {
    if (chunk_left <= 0) {
      break;
    }
    if (!stream->started) {
      result.started.push_back(stream->call);
    }
    chunk_left -= std::min(chunk_left, stream->prefill_remaining);
  }
  return options_.step_s + static_cast<double>(decoding) * options_.step_per_stream_s +
         (options_.prefill_chunk_tokens - chunk_left) / options_.prefill_tokens_per_second;
}

void Engine::Unpin(const Stream& stream) {
  if (stream.pinned) {
    --cache_entries_.at(stream.shared_prefix).pins;
  }
}

void Engine::FinishStep(double now, StepResult& result) {
  std::vector<std::size_t> decoding;
  for (std::size_t i = 0; i < streams_.size(); ++i) {
    if (streams_[i].prefill_remaining <= 0) {
      decoding.push_back(i);
    }
  }
  for (double chunk_left = options_.prefill_chunk_tokens; chunk_left > 0;) {
    const std::size_t next = NextPrefill();
    if (next == streams_.size()) {
      break;
    }
    Stream& stream = streams_[next];
    stream.started = true;
    const double part = std::min(chunk_left, stream.prefill_remaining);
    stream.prefill_remaining -= part;
    chunk_left -= part;
    if (stream.prefill_remaining <= 0 && !cache_entries_.contains(stream.shared_prefix)) {
      // The shared prefix gets its own cache entry, which other programs can use.
      Store(stream.shared_prefix, stream.shared_tokens, stream.shared_tokens, now);
      const auto shared = cache_entries_.find(stream.shared_prefix);
      if (shared == cache_entries_.end()) {
        continue;  // The new entry was evicted at once because the KV memory is full.
      }
      shared->second.pins = 1;
      stream.pinned = true;
      stream.private_tokens -= stream.shared_tokens;
      stream_tokens_ -= stream.shared_tokens;
    }
  }
  for (const std::size_t i : decoding) {
    Stream& stream = streams_[i];
    if (!stream.has_first_token) {
      stream.has_first_token = true;
      result.first_tokens.push_back(stream.call);
    }
    ++stream.generated;
    ++stream.private_tokens;
    ++stream_tokens_;
  }
  std::vector<std::uint64_t> done;
  for (const Stream& stream : streams_) {
    if (stream.generated >= stream.output) {
      done.push_back(stream.call);
    }
  }
  for (const std::uint64_t call : done) {
    result.ended.push_back(Pause(call, now));
  }
  EvictToCapacity(now);
}

Stream Engine::Pause(std::uint64_t call, double now) {
  const auto found = std::ranges::find(streams_, call, &Stream::call);
  Stream stream = *found;
  streams_.erase(found);
  const auto computed = stream.prompt + stream.generated -
                        static_cast<std::uint32_t>(std::ceil(stream.prefill_remaining));
  stream_tokens_ -= stream.private_tokens;
  Unpin(stream);
  if (computed >= stream.shared_tokens && !cache_entries_.contains(stream.shared_prefix)) {
    Store(stream.shared_prefix, stream.shared_tokens, stream.shared_tokens, now);
  }
  if (computed > stream.shared_tokens) {
    Store(stream.program_prefix, computed - stream.shared_tokens, computed, now);
  }
  stream.started = false;
  return stream;
}

void Engine::Hold(PrefixId program, double until) {
  if (const auto found = cache_entries_.find(program); found != cache_entries_.end()) {
    found->second.held_until = until;
  }
}

void Engine::Drop(PrefixId program, double) {
  if (cache_entries_.contains(program)) {
    EraseEntry(program, true);
  }
}

}  // namespace acaciaspring::bench
