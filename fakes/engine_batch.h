#ifndef FAKES_ENGINE_BATCH_H_
#define FAKES_ENGINE_BATCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "acaciaspring/base.h"
#include "fakes/prefix_cache.h"

namespace acaciaspring::fakes {

struct BatchOptions {
  /// Requests that run at the same time.
  std::size_t concurrency = 16;
  /// Prompt tokens computed per second by the whole engine.
  double prefill_tokens_per_second = 20000;
  /// Tokens generated per second by each running request.
  double decode_tokens_per_second = 50;
};

struct GenerationRequest {
  /// Smaller numbers are more urgent; equal ones run in order of arrival.
  std::int64_t priority = 0;
  BlockChain prompt;
  /// Generated tokens that a resumed request has received before; they count as prompt.
  std::uint64_t resume_from = 0;
  std::uint64_t output_tokens = 0;
};

struct Usage {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
  std::uint64_t cached_tokens = 0;
};

/// @brief Continuous batching in virtual time: a waiting queue by priority, one shared prefill rate
/// and one decode rate per request.
class EngineBatch {
 public:
  using RequestId = std::uint64_t;
  struct Callbacks {
    /// `count` more tokens of a request. The callee must not change the batch.
    std::function<void(RequestId id, std::uint64_t count)> on_tokens;
    /// The request has left the batch; its prompt is cached.
    std::function<void(RequestId id, const Usage& usage)> on_finished;
  };

  EngineBatch(const BatchOptions& options, PrefixCache& cache, Callbacks callbacks);

  /// @brief False when the request can never fit in the KV memory.
  bool CanEverFit(const GenerationRequest& request) const;
  RequestId Submit(GenerationRequest request);
  /// @brief True when the request was waiting or running. What was computed stays cached.
  bool Cancel(RequestId id);
  void Advance(Duration elapsed);

  bool idle() const { return running_.empty() && waiting_.empty(); }
  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  std::uint64_t prefill_tokens_computed() const { return prefill_computed_; }
  std::uint64_t cached_tokens() const { return cached_tokens_; }
  std::size_t max_batch() const { return max_batch_; }

 private:
  struct Running {
    GenerationRequest request;
    /// Prompt blocks that this request keeps pinned.
    BlockChain pinned;
    std::uint64_t reserved = 0;
    std::uint64_t cached = 0;
    std::uint64_t prefill_left = 0;
    std::uint64_t emitted = 0;
    /// Tokens that the decode rate has earned and that are not emitted.
    double credit = 0;
  };

  std::uint64_t MemoryFor(const GenerationRequest& request, std::uint64_t cached) const;
  void Admit();
  void Prefill(Duration elapsed);
  void FinishPrefill(Running& running);
  void Decode(Duration elapsed);
  void Leave(const Running& running);

  BatchOptions options_;
  PrefixCache& cache_;
  Callbacks callbacks_;
  RequestId next_id_ = 1;
  std::map<std::pair<std::int64_t, RequestId>, GenerationRequest> waiting_;
  /// In order of priority and arrival, which is also the order of prefill.
  std::map<std::pair<std::int64_t, RequestId>, Running> running_;
  double prefill_credit_ = 0;
  std::uint64_t prefill_computed_ = 0;
  std::uint64_t cached_tokens_ = 0;
  std::size_t max_batch_ = 0;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_ENGINE_BATCH_H_
