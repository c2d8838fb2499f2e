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
  /// Maximum number of requests in the batch.
  std::size_t concurrency = 16;
  /// Prompt tokens computed per second, shared by all requests in the batch.
  double prefill_tokens_per_second = 20000;
  /// Tokens generated per second by each running request.
  double decode_tokens_per_second = 50;
};

struct GenerationRequest {
  /// Lower values run first; requests of equal priority run in order of arrival.
  std::int64_t priority = 0;
  BlockChain prompt;
  /// Number of generated tokens that were sent before the request was resumed. They are prefilled
  /// together with the prompt.
  std::uint64_t resume_from = 0;
  std::uint64_t output_tokens = 0;
};

struct Usage {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
  std::uint64_t cached_tokens = 0;
};

/// @brief Simulates continuous batching in virtual time: a priority queue of waiting requests, a
/// prefill rate shared by the batch and a decode rate per request.
class EngineBatch {
 public:
  using RequestId = std::uint64_t;
  struct Callbacks {
    /// `count` more tokens of a request were generated. Must not change the batch.
    std::function<void(RequestId id, std::uint64_t count)> on_tokens;
    /// The request was completed and removed from the batch; its prompt is in the cache.
    std::function<void(RequestId id, const Usage& usage)> on_finished;
  };

  EngineBatch(const BatchOptions& options, PrefixCache& cache, Callbacks callbacks);

  /// @brief False if the request exceeds the capacity of the KV cache.
  bool CanEverFit(const GenerationRequest& request) const;
  RequestId Submit(GenerationRequest request);
  /// @brief Removes a waiting or running request; false if there is none with this id. Its computed
  /// prompt stays cached.
  bool Cancel(RequestId id);
  /// @brief Advances the virtual time: admits requests, then computes prefill and decode tokens.
  void Advance(Duration elapsed);

  bool idle() const { return running_.empty() && waiting_.empty(); }
  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  std::uint64_t prefill_tokens_computed() const { return prefill_computed_; }
  std::uint64_t cached_tokens() const { return cached_tokens_; }
  std::size_t max_batch() const { return max_batch_; }

 private:
  struct RunningRequest {
    GenerationRequest request;
    /// Cached prompt blocks that this request has pinned.
    BlockChain pinned;
    std::uint64_t reserved = 0;
    std::uint64_t cached = 0;
    std::uint64_t prefill_remaining = 0;
    std::uint64_t emitted = 0;
    /// Tokens that the decode rate allows and that have not been emitted yet.
    double decode_credit = 0;
  };

  std::uint64_t KvTokensFor(const GenerationRequest& request, std::uint64_t cached) const;
  void Admit();
  void Prefill(Duration elapsed);
  void FinishPrefill(RunningRequest& running);
  void Decode(Duration elapsed);
  void ReleaseMemory(const RunningRequest& running);

  BatchOptions options_;
  PrefixCache& cache_;
  Callbacks callbacks_;
  RequestId next_id_ = 1;
  std::map<std::pair<std::int64_t, RequestId>, GenerationRequest> waiting_;
  /// Ordered by priority and arrival; prefill runs in this order.
  std::map<std::pair<std::int64_t, RequestId>, RunningRequest> running_;
  double prefill_credit_ = 0;
  std::uint64_t prefill_computed_ = 0;
  std::uint64_t cached_tokens_ = 0;
  std::size_t max_batch_ = 0;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_ENGINE_BATCH_H_
