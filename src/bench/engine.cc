#include "src/bench/engine.h"

#include <algorithm>
#include <cmath>

namespace acaciaspring::bench {

void Engine::Erase(PrefixId prefix, bool announce) {
  const auto found = items_.find(prefix);
  cached_tokens_ -= found->second.tokens;
  recency_.erase(found->second.recency);
  items_.erase(found);
  if (announce) {
    events_.push_back({.sequence = ++sequence_, .prefix = prefix, .tokens = TokenCount(0)});
  }
}

void Engine::MakeRoom(double now) {
  // Held entries are only evicted when nothing else is left.
  for (const bool respect_holds : {true, false}) {
    auto cursor = recency_.end();
    while (kv_used() > options_.kv_capacity && cursor != recency_.begin()) {
      const PrefixId prefix = *--cursor;
      const Item& item = items_.at(prefix);
      if (item.pins == 0 && !(respect_holds && item.held_until > now)) {
        ++cursor;
        Erase(prefix, true);
      }
    }
  }
}

void Engine::Store(PrefixId prefix, std::uint32_t tokens, std::uint32_t announced, double now) {
  const auto [found, added] = items_.try_emplace(prefix);
  Item& item = found->second;
  if (added) {
    item.recency = recency_.insert(recency_.begin(), prefix);
  } else {
    recency_.splice(recency_.begin(), recency_, item.recency);
  }
  cached_tokens_ += tokens - item.tokens;
  item.tokens = tokens;
  item.announced = announced;
  events_.push_back({.sequence = ++sequence_, .prefix = prefix, .tokens = TokenCount(announced)});
  MakeRoom(now);
}

const Stream& Engine::Start(Stream stream, double now) {
  const auto shared = items_.find(stream.shared);
  const std::uint32_t whole = stream.prompt + stream.generated;
  stream.cached = 0;
  stream.pinned = false;
  if (shared != items_.end()) {
    stream.cached = shared->second.tokens;
    ++shared->second.pins;
    stream.pinned = true;
    recency_.splice(recency_.begin(), recency_, shared->second.recency);
  }
  if (const auto own = items_.find(stream.program); own != items_.end()) {
    // Without the shared part in front of them the tokens of the program are of no use.
    if (shared != items_.end()) {
      stream.cached += own->second.tokens;
    }
    Erase(stream.program, false);
  }
  stream.cached = std::min(stream.cached, whole);
  const std::uint32_t imported = std::max(stream.exported, stream.cached) - stream.cached;
  stream.prefill_left =
      whole - stream.cached - imported +
      imported * options_.prefill_tokens_per_second / options_.export_tokens_per_second;
  // A prompt is never wholly taken from the cache: its last token is computed.
  stream.prefill_left = std::max(stream.prefill_left, 1.0);
  stream.private_tokens = whole - (stream.pinned ? std::min(whole, stream.shared_tokens) : 0);
  stream_tokens_ += stream.private_tokens;
  streams_.push_back(stream);
  MakeRoom(now);
  return streams_.back();
}

std::size_t Engine::NextPrefill() const {
  std::size_t next = streams_.size();
  for (std::size_t i = 0; i < streams_.size(); ++i) {
    if (streams_[i].prefill_left > 0 &&
        (next == streams_.size() || streams_[i].rank < streams_[next].rank)) {
      next = i;
    }
  }
  return next;
}

double Engine::BeginStep(StepResult& result) const {
  double chunk = options_.chunk;
  std::size_t decoding = 0;
  std::vector<const Stream*> waiting;
  for (const Stream& stream : streams_) {
    if (stream.prefill_left > 0) {
      waiting.push_back(&stream);
    } else {
      ++decoding;
    }
  }
  std::ranges::stable_sort(waiting, {}, &Stream::rank);
  for (const Stream* stream : waiting) {
    if (chunk <= 0) {
      break;
    }
    if (!stream->started) {
      result.started.push_back(stream->call);
    }
    chunk -= std::min(chunk, stream->prefill_left);
  }
  return options_.step_s + static_cast<double>(decoding) * options_.step_per_stream_s +
         (options_.chunk - chunk) / options_.prefill_tokens_per_second;
}

void Engine::Unpin(const Stream& stream) {
  if (stream.pinned) {
    --items_.at(stream.shared).pins;
  }
}

void Engine::FinishStep(double now, StepResult& result) {
  std::vector<std::size_t> decoding;
  for (std::size_t i = 0; i < streams_.size(); ++i) {
    if (streams_[i].prefill_left <= 0) {
      decoding.push_back(i);
    }
  }
  for (double chunk = options_.chunk; chunk > 0;) {
    const std::size_t next = NextPrefill();
    if (next == streams_.size()) {
      break;
    }
    Stream& stream = streams_[next];
    stream.started = true;
    const double part = std::min(chunk, stream.prefill_left);
    stream.prefill_left -= part;
    chunk -= part;
    if (stream.prefill_left <= 0 && !items_.contains(stream.shared)) {
      // The prompt's shared part becomes an entry of its own for other programs.
      Store(stream.shared, stream.shared_tokens, stream.shared_tokens, now);
      const auto shared = items_.find(stream.shared);
      if (shared == items_.end()) {
        continue;  // There was no room for it.
      }
      shared->second.pins = 1;
      stream.pinned = true;
      stream.private_tokens -= stream.shared_tokens;
      stream_tokens_ -= stream.shared_tokens;
    }
  }
  for (const std::size_t i : decoding) {
    Stream& stream = streams_[i];
    if (!stream.first_token) {
      stream.first_token = true;
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
  MakeRoom(now);
}

Stream Engine::Pause(std::uint64_t call, double now) {
  const auto found = std::ranges::find(streams_, call, &Stream::call);
  Stream stream = *found;
  streams_.erase(found);
  const auto computed =
      stream.prompt + stream.generated - static_cast<std::uint32_t>(std::ceil(stream.prefill_left));
  stream_tokens_ -= stream.private_tokens;
  Unpin(stream);
  if (computed >= stream.shared_tokens && !items_.contains(stream.shared)) {
    Store(stream.shared, stream.shared_tokens, stream.shared_tokens, now);
  }
  if (computed > stream.shared_tokens) {
    Store(stream.program, computed - stream.shared_tokens, computed, now);
  }
  stream.started = false;
  return stream;
}

void Engine::Hold(PrefixId program, double until) {
  if (const auto found = items_.find(program); found != items_.end()) {
    found->second.held_until = until;
  }
}

void Engine::Drop(PrefixId program, double) {
  if (items_.contains(program)) {
    Erase(program, true);
  }
}

}  // namespace acaciaspring::bench
