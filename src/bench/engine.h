#ifndef ACACIASPRING_SRC_BENCH_ENGINE_H_
#define ACACIASPRING_SRC_BENCH_ENGINE_H_

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "acaciaspring/routing.h"

namespace acaciaspring::bench {

struct EngineOptions {
  std::uint32_t slots = 16;
  double prefill_tokens_per_second = 8000;
  /// Prompt tokens computed per step, shared by all streams that are in their prefill.
  double chunk = 512;
  double step_s = 0.018;
  double step_per_stream_s = 0.0006;
  std::uint64_t kv_capacity = 600'000;
  double export_tokens_per_second = 40'000;
};

/// @brief A call as the engine sees it.
struct Stream {
  std::uint64_t call = 0;
  std::uint32_t rank = 0;
  PrefixId program;
  PrefixId shared;
  std::uint32_t shared_tokens = 0;
  std::uint32_t prompt = 0;
  std::uint32_t output = 1;
  /// Tokens of this prompt that can be imported from an export.
  std::uint32_t exported = 0;
  // State kept by the engine.
  std::uint32_t cached = 0;
  std::uint32_t generated = 0;
  double prefill_left = 0;
  bool started = false;
  bool first_token = false;
  /// Whether the shared entry is protected from eviction by this stream.
  bool pinned = false;
  /// Tokens that this stream adds to the memory in use.
  std::uint64_t private_tokens = 0;
};

/// @brief What one step of an engine brought about.
struct StepResult {
  std::vector<std::uint64_t> started;
  std::vector<std::uint64_t> first_tokens;
  std::vector<Stream> ended;
};

/// @brief A model engine in virtual time: continuous batching with chunked prefill by priority,
/// decode speed shared by the batch, and a prefix cache in limited memory.
class Engine {
 public:
  explicit Engine(EngineOptions options) : options_(options) {}

  std::uint32_t running() const { return static_cast<std::uint32_t>(streams_.size()); }
  bool full() const { return running() >= options_.slots; }
  bool idle() const { return streams_.empty(); }
  std::uint64_t kv_used() const { return cached_tokens_ + stream_tokens_; }
  const std::vector<Stream>& streams() const { return streams_; }
  const EngineOptions& options() const { return options_; }

  /// @brief Starts a stream and returns it with the cached tokens found.
  const Stream& Start(Stream stream, double now);
  /// @brief Computes one step; @return its duration in seconds.
  double BeginStep(StepResult& result) const;
  void FinishStep(double now, StepResult& result);
  /// @brief Takes a stream out of the batch; its computed tokens stay in the cache.
  Stream Pause(std::uint64_t call, double now);
  /// @brief Keeps the program's tokens from eviction until `until`.
  void Hold(PrefixId program, double until);
  /// @brief Removes the program's tokens.
  void Drop(PrefixId program, double now);
  std::vector<CacheEvent> TakeEvents() { return std::exchange(events_, {}); }

 private:
  struct Item {
    std::uint32_t tokens = 0;
    std::uint32_t announced = 0;
    double held_until = 0;
    std::uint32_t pins = 0;
    std::list<PrefixId>::iterator recency;
  };

  void Store(PrefixId prefix, std::uint32_t tokens, std::uint32_t announced, double now);
  void Erase(PrefixId prefix, bool announce);
  void MakeRoom(double now);
  void Unpin(const Stream& stream);
  std::size_t NextPrefill() const;

  EngineOptions options_;
  std::vector<Stream> streams_;
  std::unordered_map<PrefixId, Item> items_;
  std::list<PrefixId> recency_;
  std::uint64_t cached_tokens_ = 0;
  std::uint64_t stream_tokens_ = 0;
  std::uint64_t sequence_ = 0;
  std::vector<CacheEvent> events_;
};

}  // namespace acaciaspring::bench

#endif  // ACACIASPRING_SRC_BENCH_ENGINE_H_
