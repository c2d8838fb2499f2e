#ifndef FAKES_FAKE_ENGINE_H_
#define FAKES_FAKE_ENGINE_H_

#include <map>
#include <string>
#include <vector>

#include "fakes/answer.h"
#include "fakes/cache_events.h"
#include "fakes/engine_batch.h"
#include "fakes/engine_orders.h"
#include "fakes/fake_http_server.h"
#include "fakes/kv_holds.h"
#include "fakes/prefix_cache.h"

namespace acaciaspring::fakes {

struct EngineOptions {
  BatchOptions batch;
  std::uint64_t kv_capacity_tokens = 200000;
  /// Comma-separated.
  std::string models = "model";
  bool check_fencing = false;
  bool can_resume = false;
  /// Largest age of the answer of GET /load.
  std::int64_t load_lag_ms = 0;
  /// Time until a cache event becomes visible.
  std::int64_t events_lag_ms = 0;
  /// Length of a batch step.
  std::int64_t step_ms = 5;
};

/// @brief Model engine with continuous batching.
class FakeEngine {
 public:
  FakeEngine(net::Loop& loop, const net::Address& listen, const EngineOptions& options);
  net::Address address() const { return service_.address(); }

 private:
  using RequestId = EngineBatch::RequestId;

  struct Stream {
    std::string id;
    std::string program;
    bool hold = false;
    std::vector<Message> messages;
    std::vector<std::string> words;
    /// Index of the next word to send.
    std::size_t next_word = 0;
    std::uint64_t sent = 0;
    bool limited = false;
    bool started = false;
    net::HttpResponderPtr responder;
  };

  void AddRoutes();
  // Model calls.
  void StartCompletion(const Call& call);
  void SendTokens(RequestId id, std::uint64_t count);
  void FinishStream(RequestId id, const Usage& usage);
  void CutStreams();
  void Cancel(RequestId id);
  void ScheduleSteps();
  void Step();
  // Reports and control.
  void AnswerLoad(const Call& call);
  void ReleaseHold(const Call& call);
  void ExportHold(const Call& call);
  void ImportHold(const Call& call);
  void ApplyOrder(const Call& call);
  void FollowFaults();
  void AddStats(Json::Value& stats) const;

  EngineOptions options_;
  CacheEvents events_;
  /// Program on whose behalf the cache changes now.
  std::string acting_program_;
  PrefixCache cache_;
  KvHolds holds_;
  EngineBatch batch_;
  EngineOrders orders_;
  std::map<RequestId, Stream> streams_;
  std::vector<RequestId> to_cut_;
  std::uint64_t next_stream_ = 1;
  Json::Value load_sample_;
  MonotonicTime load_sampled_at_{};
  bool leaving_ = false;
  MonotonicTime leaving_since_{};
  MonotonicTime last_step_{};
  net::Timer step_timer_;
  bool stepping_ = false;
  FakeHttpServer service_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_FAKE_ENGINE_H_
