#ifndef FAKES_FAKE_ENGINE_H_
#define FAKES_FAKE_ENGINE_H_

#include <map>
#include <string>
#include <vector>

#include "fakes/answer.h"
#include "fakes/cache_event_log.h"
#include "fakes/engine_batch.h"
#include "fakes/engine_orders.h"
#include "fakes/fake_http_server.h"
#include "fakes/kv_holds.h"
#include "fakes/prefix_cache.h"

namespace acaciaspring::fakes {

struct EngineOptions {
  BatchOptions batch;
  std::uint64_t kv_capacity_tokens = 200000;
  /// Served models, comma-separated.
  std::string models = "model";
  bool check_fencing = false;
  bool can_resume = false;
  /// Maximum age of the sample that GET /load returns.
  std::int64_t load_lag_ms = 0;
  /// Delay until a cache event becomes visible.
  std::int64_t events_lag_ms = 0;
  /// Interval between batch steps.
  std::int64_t step_ms = 5;
};

/// @brief Fake model engine with continuous batching, a prefix cache and KV holds.
///
/// Fault switches besides those of FakeHttpServer: crash (the process exits at once),
/// cut_after_tokens (each stream is closed after this number of tokens), drop_events (number of
/// cache events to lose), events_lag_ms and load_lag_ms (added to the options of the same name),
/// ignore_fencing and leaving (GET /load reports that the engine is leaving).
class FakeEngine {
 public:
  FakeEngine(net::Loop& loop, const net::Address& listen, const EngineOptions& options);
  net::Address address() const { return server_.address(); }

 private:
  using RequestId = EngineBatch::RequestId;

  struct Stream {
    std::string id;
    std::string program;
    bool hold = false;
    std::vector<Message> messages;
    std::vector<std::string> words;
    /// Index into `words` of the next word to send.
    std::size_t next_word = 0;
    std::uint64_t sent_tokens = 0;
    /// max_tokens is less than the length of the full answer.
    bool length_limited = false;
    bool response_started = false;
    net::HttpResponderPtr responder;
  };

  void AddRoutes();
  // Chat completions.
  void StartCompletion(const Call& call);
  void SendTokens(RequestId id, std::uint64_t count);
  void FinishStream(RequestId id, const Usage& usage);
  void CutStreams();
  void Cancel(RequestId id);
  void StartStepTimer();
  void Step();
  // Status and control.
  void RespondLoad(const Call& call);
  void ReleaseHold(const Call& call);
  void ExportHold(const Call& call);
  void ImportHold(const Call& call);
  void ApplyOrder(const Call& call);
  void HandleFaultsChanged();
  void AddStats(Json::Value& stats) const;

  EngineOptions options_;
  CacheEventLog events_;
  /// Program whose request changes the cache; reported in cache events.
  std::string current_program_;
  PrefixCache cache_;
  KvHolds holds_;
  EngineBatch batch_;
  EngineOrders orders_;
  std::map<RequestId, Stream> streams_;
  std::vector<RequestId> streams_to_cut_;
  std::uint64_t next_stream_number_ = 1;
  Json::Value load_sample_;
  MonotonicTime load_sampled_at_{};
  bool leaving_ = false;
  MonotonicTime leaving_since_{};
  MonotonicTime last_step_{};
  net::Timer step_timer_;
  bool step_timer_running_ = false;
  FakeHttpServer server_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_FAKE_ENGINE_H_
