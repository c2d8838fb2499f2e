#ifndef ACACIASPRING_SRC_GATEWAY_TEST_ENDPOINT_MODEL_H_
#define ACACIASPRING_SRC_GATEWAY_TEST_ENDPOINT_MODEL_H_

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "src/gateway/endpoint_table.h"

namespace acaciaspring::gateway {

inline constexpr MonotonicTime kModelStart{std::chrono::seconds(100)};
inline constexpr Duration kModelStep = std::chrono::milliseconds(5);
inline constexpr Duration kModelLoadPeriod = std::chrono::milliseconds(50);
inline constexpr Duration kModelStatusPeriod = std::chrono::milliseconds(200);
inline constexpr Duration kModelCallDuration = std::chrono::milliseconds(400);
inline constexpr Duration kModelFirstEvent = std::chrono::milliseconds(100);
inline constexpr std::uint32_t kModelSlots = 12;
inline constexpr std::size_t kModelQueue = 36;
// Concurrent calls of an endpoint that has just started; each completed call adds one.
inline constexpr std::uint32_t kModelColdSlots = 2;
inline const ServiceId kModelService("engines");

struct ModelCall {
  std::size_t daemon = 0;
  MonotonicTime arrived;
  std::vector<EndpointId> tried = {};
};

/// @brief Runs calls in its slots and keeps others in its queue.
struct EndpointModel {
  std::int64_t started_at_ms = 1;
  double slowness = 1;
  std::uint32_t warm_slots = kModelSlots;
  bool down = false;
  std::deque<ModelCall> queue = {};
  /// By the time of the end.
  std::multimap<MonotonicTime, ModelCall> running = {};
  /// By the time of the first event.
  std::multimap<MonotonicTime, ModelCall> waiting_for_event = {};
  /// Calls that found no slot, and that found no room in the queue.
  std::size_t queued = 0;
  std::size_t rejected = 0;
  std::size_t completed = 0;
  std::size_t longest_queue = 0;
};

/// @brief Several daemons that call the endpoints of one service and report to each other.
class EndpointServiceModel {
 public:
  static constexpr std::size_t kDaemons = 5;

  EndpointServiceModel(std::size_t endpoints, bool limit_concurrency, std::uint64_t seed = 7)
      : random_(seed) {
    for (std::size_t i = 0; i < endpoints; ++i) {
      Add();
    }
    for (std::size_t i = 0; i < kDaemons; ++i) {
      tables_.emplace_back(
          AvailabilityZone("z"),
          EndpointTableOptions{.self = Daemon(i), .limit_concurrency = limit_concurrency});
    }
    ReadRegistry();
    for (EndpointTable& table : tables_) {
      table.SetEngineMemory(kModelService, TokenCount(1));
    }
  }

  /// @brief Starts an endpoint that the daemons do not know.
  std::size_t Add() {
    endpoints_.emplace_back();
    return endpoints_.size() - 1;
  }
  /// @brief Starts the endpoint anew; it is cold.
  void Restart(std::size_t index) {
    EndpointModel& endpoint = endpoints_[index];
    endpoint.started_at_ms += 1;
    endpoint.warm_slots = kModelColdSlots;
  }
  void ReadRegistry() {
    std::vector<RegisteredEndpoint> listed;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      listed.push_back({.id = Id(i),
                        .service = kModelService,
                        .address = {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(80 + i)},
                        .zone = AvailabilityZone("z"),
                        .slots = kModelSlots,
                        .started_at_ms = endpoints_[i].started_at_ms});
    }
    for (EndpointTable& table : tables_) {
      table.SetEndpoints(listed, now_);
    }
  }
  EndpointModel& endpoint(std::size_t index) { return endpoints_[index]; }
  /// @brief Ends all calls at the endpoint, and refuses others until Restore().
  void TakeDown(std::size_t index) {
    EndpointModel& endpoint = endpoints_[index];
    endpoint.down = true;
    for (const auto& [end, call] : endpoint.running) {
      Finish(index, call, AttemptResult::kFailed);
    }
    for (const ModelCall& call : endpoint.queue) {
      Finish(index, call, AttemptResult::kFailed);
    }
    endpoint.running.clear();
    endpoint.waiting_for_event.clear();
    endpoint.queue.clear();
  }
  /// @brief The same process responds again; its caches are lost.
  void Restore(std::size_t index) {
    endpoints_[index].down = false;
    endpoints_[index].warm_slots = kModelColdSlots;
  }

  /// @brief `load` is relative to the slots of `endpoints` endpoints of normal speed.
  void Run(std::chrono::milliseconds time, double load, std::size_t endpoints) {
    const double per_step = load * static_cast<double>(endpoints * kModelSlots) *
                            static_cast<double>(kModelStep.count()) /
                            static_cast<double>(kModelCallDuration.count());
    const MonotonicTime end = now_ + time;
    while (now_ < end) {
      now_ += kModelStep;
      for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        Advance(i);
      }
      for (int calls = std::poisson_distribution<int>(per_step)(random_); calls > 0; --calls) {
        Place({.daemon = std::uniform_int_distribution<std::size_t>(0, kDaemons - 1)(random_),
               .arrived = now_});
      }
      if ((now_ - kModelStart) % kModelLoadPeriod < kModelStep) {
        Exchange((now_ - kModelStart) % kModelStatusPeriod < kModelStep);
      }
    }
  }

  void ResetCounts() {
    for (EndpointModel& endpoint : endpoints_) {
      endpoint.queued = 0;
      endpoint.rejected = 0;
      endpoint.completed = 0;
      endpoint.longest_queue = 0;
    }
    completed_ = 0;
    unserved_ = 0;
  }
  std::size_t completed() const { return completed_; }
  /// @brief Calls that no endpoint took.
  std::size_t unserved() const { return unserved_; }
  std::size_t limits_in_force() const {
    std::size_t limits = 0;
    for (const EndpointTable& table : tables_) {
      limits += table.concurrency_limits().size();
    }
    return limits;
  }
  std::optional<std::uint32_t> Limit(std::size_t daemon, std::size_t endpoint) const {
    return tables_[daemon].concurrency_limits().Find(Id(endpoint));
  }
  std::uint64_t moved_calls() const {
    std::uint64_t moved = 0;
    for (const EndpointTable& table : tables_) {
      moved += table.moved_calls();
    }
    return moved;
  }

 private:
  static EndpointId Id(std::size_t index) { return EndpointId("e" + std::to_string(index)); }
  static DaemonId Daemon(std::size_t index) { return DaemonId("d" + std::to_string(index)); }

  void Finish(std::size_t index, const ModelCall& call, AttemptResult result) {
    tables_[call.daemon].OnFinished(Id(index), result, now_,
                                    std::chrono::duration_cast<Duration>(now_ - call.arrived));
  }
  void Place(ModelCall call) {
    for (;;) {
      EndpointTable& table = tables_[call.daemon];
      const RegisteredEndpoint* chosen =
          table.Choose({.service = kModelService, .excluded = call.tried}, now_, random_);
      if (chosen == nullptr || call.tried.size() == 3) {
        ++unserved_;
        return;
      }
      const auto index = static_cast<std::size_t>(std::stoi(chosen->id.value().substr(1)));
      EndpointModel& endpoint = endpoints_[index];
      table.OnStarted(chosen->id, now_);
      call.tried.push_back(chosen->id);
      if (endpoint.down) {
        Finish(index, call, AttemptResult::kFailed);
      } else if (endpoint.running.size() < endpoint.warm_slots) {
        Start(endpoint, call);
        return;
      } else if (endpoint.queue.size() < kModelQueue) {
        ++endpoint.queued;
        endpoint.queue.push_back(call);
        endpoint.longest_queue = std::max(endpoint.longest_queue, endpoint.queue.size());
        return;
      } else {
        ++endpoint.rejected;
        Finish(index, call, AttemptResult::kRejected);
      }
    }
  }
  void Start(EndpointModel& endpoint, const ModelCall& call) {
    const double spread = std::uniform_real_distribution<double>(0.8, 1.2)(random_);
    const auto scaled = [&](Duration time) {
      return std::chrono::duration_cast<Duration>(time * (spread * endpoint.slowness));
    };
    endpoint.running.emplace(now_ + scaled(kModelCallDuration), call);
    endpoint.waiting_for_event.emplace(now_ + scaled(kModelFirstEvent), call);
  }
  void Advance(std::size_t index) {
    EndpointModel& endpoint = endpoints_[index];
    while (!endpoint.waiting_for_event.empty() &&
           endpoint.waiting_for_event.begin()->first <= now_) {
      const ModelCall& call = endpoint.waiting_for_event.begin()->second;
      tables_[call.daemon].OnFirstEvent(
          Id(index), std::chrono::duration_cast<Duration>(now_ - call.arrived), now_);
      endpoint.waiting_for_event.erase(endpoint.waiting_for_event.begin());
    }
    while (!endpoint.running.empty() && endpoint.running.begin()->first <= now_) {
      Finish(index, endpoint.running.begin()->second, AttemptResult::kSucceeded);
      endpoint.running.erase(endpoint.running.begin());
      ++completed_;
      ++endpoint.completed;
      endpoint.warm_slots = std::min(endpoint.warm_slots + 1, kModelSlots);
    }
    while (!endpoint.queue.empty() && endpoint.running.size() < endpoint.warm_slots) {
      Start(endpoint, endpoint.queue.front());
      endpoint.queue.pop_front();
    }
  }
  void Exchange(bool with_status) {
    for (std::size_t from = 0; from < kDaemons; ++from) {
      tables_[from].UpdateConcurrencyLimits(now_);
      const InFlightCounts counts = tables_[from].OwnCounts();
      const auto reports = tables_[from].concurrency_limits().MakeReports(now_);
      for (std::size_t to = 0; to < kDaemons; ++to) {
        if (to != from) {
          tables_[to].SetRemoteCounts(Daemon(from), counts);
          if (with_status) {
            tables_[to].OnConcurrencyReports(reports, now_);
          }
        }
      }
    }
  }

  std::mt19937_64 random_;
  MonotonicTime now_ = kModelStart;
  std::vector<EndpointModel> endpoints_;
  std::deque<EndpointTable> tables_;
  std::size_t completed_ = 0;
  std::size_t unserved_ = 0;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_TEST_ENDPOINT_MODEL_H_
