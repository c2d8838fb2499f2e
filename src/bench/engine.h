#ifndef ACACIASPRING_SRC_BENCH_ENGINE_H_
#define ACACIASPRING_SRC_BENCH_ENGINE_H_

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "acaciaspring/routing.h"

namespace acaciaspring::bench {

struct EngineOptions {
  /// Maximum number of streams in the batch.
  std::uint32_t slots = 16;
  double prefill_tokens_per_second = 8000;
  /// Maximum number of prompt tokens computed per step for all streams in prefill.
  double prefill_chunk_tokens = 512;
  /// Duration of a step without streams, and its increase for each decoding stream.
  double step_s = 0.018;
  double step_per_stream_s = 0.0006;
  /// Size of the KV memory in tokens.
  std::uint64_t kv_capacity = 600'000;
  double export_tokens_per_second = 40'000;
};

/// @brief A call in an engine.
struct Stream {
  std::uint64_t call = 0;
  /// Priority of the prefill, 0 first.
  std::uint32_t rank = 0;
  /// Prefix of the program's history.
  PrefixId program_prefix;
  /// Prefix that the program shares with others, such as a system prompt, and its length.
  PrefixId shared_prefix;
  std::uint32_t shared_tokens = 0;
  /// Prompt tokens and output tokens of the call.
  std::uint32_t prompt = 0;
  std::uint32_t output = 1;
  /// Prompt tokens that can be imported because they were exported before.
  std::uint32_t exported_tokens = 0;
  // State maintained by the engine.
  /// Tokens found in the prefix cache at the start.
  std::uint32_t cached = 0;
  std::uint32_t generated = 0;
  double prefill_remaining = 0;
  bool started = false;
  bool has_first_token = false;
  /// Whether this stream protects the cache entry of the shared prefix from eviction.
  bool pinned = false;
  /// Tokens that this stream occupies in the KV cache, without a pinned shared prefix.
  std::uint64_t private_tokens = 0;
};

/// @brief Events of one engine step; calls are listed by id.
struct StepResult {
  std::vector<std::uint64_t> started;
  std::vector<std::uint64_t> first_tokens;
  std::vector<Stream> ended;
};

/// @brief Simulates an inference engine in virtual time: continuous batching with chunked prefill
/// in order of priority, a step duration that grows with the batch, and a prefix cache in a KV
/// memory of limited size with LRU eviction.
class Engine {
 public:
  explicit Engine(EngineOptions options) : options_(options) {}

  std::uint32_t running() const { return static_cast<std::uint32_t>(streams_.size()); }
  bool full() const { return running() >= options_.slots; }
  bool idle() const { return streams_.empty(); }
  std::uint64_t kv_used() const { return cached_tokens_ + stream_tokens_; }
  const std::vector<Stream>& streams() const { return streams_; }
  const EngineOptions& options() const { return options_; }

  /// @brief Adds a stream to the batch and returns it with its number of cached tokens set.
  const Stream& Start(Stream stream, double now);
  /// @brief Begins a step and records the calls whose prefill starts in it.
  /// @return the duration of the step in seconds.
  double BeginStep(StepResult& result) const;
  /// @brief Applies the effects of the step and records its first tokens and ended streams.
  void FinishStep(double now, StepResult& result);
  /// @brief Removes a stream from the batch; its computed tokens stay in the cache.
  Stream Pause(std::uint64_t call, double now);
  /// @brief Protects the cached tokens of the program from eviction until `until`, as long as other
  /// entries can be evicted.
  void Hold(PrefixId program, double until);
  /// @brief Removes the cached tokens of the program.
  void Drop(PrefixId program, double now);
  /// @brief Returns the cache events since the last call.
  std::vector<CacheEvent> TakeEvents() { return std::exchange(events_, {}); }

 private:
  struct CacheEntry {
    std::uint32_t tokens = 0;
    /// Tokens in the cache event of the entry; for a program they include the shared prefix.
    std::uint32_t reported_tokens = 0;
    double held_until = 0;
    /// Running streams that use the entry, which is not evicted while there are any.
    std::uint32_t pins = 0;
    std::list<PrefixId>::iterator recency;
  };

  void Store(PrefixId prefix, std::uint32_t tokens, std::uint32_t reported_tokens, double now);
  void EraseEntry(PrefixId prefix, bool report_eviction);
  void EvictToCapacity(double now);
  void Unpin(const Stream& stream);
  std::size_t NextPrefill() const;

  EngineOptions options_;
  std::vector<Stream> streams_;
  std::unordered_map<PrefixId, CacheEntry> cache_entries_;
  /// Most recently used first.
  std::list<PrefixId> recency_;
  std::uint64_t cached_tokens_ = 0;
  std::uint64_t stream_tokens_ = 0;
  std::uint64_t sequence_ = 0;
  std::vector<CacheEvent> events_;
};

}  // namespace acaciaspring::bench

#endif  // ACACIASPRING_SRC_BENCH_ENGINE_H_
