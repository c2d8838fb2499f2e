#include "src/gateway/endpoint_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciaspring::gateway {

namespace {

// Starts that are no longer listed are remembered, so that an entry that is missing for a while,
// for example during an outage of the registry, does not count as a new start when it returns.
constexpr std::size_t kMinRemembered = 256;
// Changes between two calls of TakeChanges; further ones are not logged.
constexpr std::size_t kMaxChanges = 256;

}  // namespace

void EndpointLimits::Enable(bool enabled,
                            const std::vector<RegisteredEndpoint>& listed,
                            MonotonicTime now) {
  if (std::exchange(enabled_, enabled) == enabled) {
    return;
  }
  if (!enabled) {
    for (auto& [id, run] : runs_) {
      End(id, run, EndpointLimitCause::kDisabled, now);
    }
    runs_.clear();
    best_times_.clear();
    listed_before_ = false;
  } else if (!listed.empty()) {
    OnListed(listed, now);
  }
}

void EndpointLimits::OnListed(const std::vector<RegisteredEndpoint>& endpoints, MonotonicTime now) {
  if (!enabled_) {
    return;
  }
  // The endpoints of the first list may have run for a long time.
  const bool first = !std::exchange(listed_before_, true);
  for (auto& [id, run] : runs_) {
    run.listed = false;
  }
  for (const RegisteredEndpoint& endpoint : endpoints) {
    const auto [found, inserted] = runs_.try_emplace(endpoint.id);
    Run& run = found->second;
    const bool started =
        inserted || run.started_at_ms != endpoint.started_at_ms || run.address != endpoint.address;
    if (started) {
      End(endpoint.id, run, EndpointLimitCause::kGone, now);
      run = {.started_at_ms = endpoint.started_at_ms,
             .address = endpoint.address,
             .service = endpoint.service,
             .slots = endpoint.slots};
    }
    run.listed = true;
    if (started && !first) {
      Begin(endpoint.id, run, EndpointLimitCause::kStarted, now);
    }
  }
  for (auto& [id, run] : runs_) {
    if (!run.listed) {
      End(id, run, EndpointLimitCause::kGone, now);
    }
  }
  if (runs_.size() > std::max(kMinRemembered, 2 * endpoints.size())) {
    std::erase_if(runs_, [](const auto& run) { return !run.second.listed; });
  }
  std::erase_if(best_times_, [&](const auto& best) {
    return std::none_of(endpoints.begin(), endpoints.end(),
                        [&](const auto& endpoint) { return endpoint.service == best.first; });
  });
}

EndpointLimits::Run* EndpointLimits::FindRun(const EndpointId& endpoint) {
  const auto found = runs_.find(endpoint);
  return found == runs_.end() || !found->second.listed ? nullptr : &found->second;
}

void EndpointLimits::Begin(const EndpointId& id,
                           Run& run,
                           EndpointLimitCause cause,
                           MonotonicTime now) {
  ConcurrencyLimit limit(run.slots, now, options_.limit);
  if (limit.reached_slots()) {
    // An endpoint with one slot cannot be limited further.
    return;
  }
  run.active = Active{.limit = limit, .since = now};
  ++active_;
  ++active_by_service_[run.service];
  Log({.endpoint = id, .started_at_ms = run.started_at_ms, .limit = limit.value(), .cause = cause});
}

void EndpointLimits::End(const EndpointId& id,
                         Run& run,
                         EndpointLimitCause cause,
                         MonotonicTime now) {
  if (!run.active) {
    return;
  }
  Log({.endpoint = id,
       .started_at_ms = run.started_at_ms,
       .ended = true,
       .limit = run.active->limit.value(),
       .cause = cause,
       .duration = std::chrono::duration_cast<Duration>(now - run.active->since)});
  run.active.reset();
  run.ended_at = now;
  --active_;
  if (--active_by_service_[run.service] == 0) {
    active_by_service_.erase(run.service);
  }
}

void EndpointLimits::EndIfReached(const EndpointId& id, Run& run, MonotonicTime now) {
  if (run.active && run.active->limit.reached_slots()) {
    End(id, run, EndpointLimitCause::kReachedSlots, now);
  }
}

void EndpointLimits::OnOwnObservation(Run& run, bool responds, MonotonicTime now) {
  run.observed_at = now;
  run.own_observed_at = now;
  run.responds = responds;
}

void EndpointLimits::OnFirstEvent(const EndpointId& endpoint, Duration time, MonotonicTime now) {
  Run* run = FindRun(endpoint);
  if (run == nullptr) {
    return;
  }
  BestTime& best = best_times_.try_emplace(run->service).first->second;
  best.Record(time, now);
  OnOwnObservation(*run, /*responds=*/true, now);
  if (run->active) {
    run->active->limit.OnFirstEvent(time, *best.value(), now);
  }
}

bool EndpointLimits::OnCompleted(const EndpointId& endpoint,
                                 Duration call_duration,
                                 MonotonicTime now) {
  Run* run = FindRun(endpoint);
  if (run == nullptr) {
    return false;
  }
  run->consecutive_failures = 0;
  OnOwnObservation(*run, /*responds=*/true, now);
  if (!run->active) {
    return false;
  }
  run->active->limit.OnCompleted(call_duration, now);
  EndIfReached(endpoint, *run, now);
  return true;
}

void EndpointLimits::OnRejected(const EndpointId& endpoint,
                                Duration call_duration,
                                MonotonicTime now) {
  if (Run* run = FindRun(endpoint)) {
    OnOwnObservation(*run, /*responds=*/true, now);
    if (run->active) {
      run->active->limit.OnFailed(call_duration, now);
    }
  }
}

void EndpointLimits::OnFailed(const EndpointId& endpoint,
                              Duration call_duration,
                              MonotonicTime now) {
  Run* run = FindRun(endpoint);
  if (run == nullptr) {
    return;
  }
  ++run->consecutive_failures;
  OnOwnObservation(*run, /*responds=*/false, now);
  if (run->active) {
    run->active->limit.OnFailed(call_duration, now);
  } else if (run->consecutive_failures >= options_.failures_before_limit) {
    // Already in force when the endpoint is tried again, so that the calls that find out whether it
    // responds are few.
    Begin(endpoint, *run, EndpointLimitCause::kFailures, now);
  }
}

bool EndpointLimits::OnReport(const EndpointLimitReport& report, MonotonicTime now) {
  Run* run = FindRun(report.endpoint);
  if (run == nullptr || run->started_at_ms != report.started_at_ms ||
      !std::isfinite(report.limit) || report.limit < 0 || report.age_us < 0) {
    return false;
  }
  const Duration age(report.age_us);
  if (age > 2 * options_.report_age) {
    return false;
  }
  const MonotonicTime observed_at = now - age;
  if (run->observed_at && observed_at <= *run->observed_at) {
    return false;
  }
  if (report.limit == 0) {
    End(report.endpoint, *run, EndpointLimitCause::kReported, now);
  } else {
    if (!run->active) {
      if (run->ended_at && now - *run->ended_at < options_.settling) {
        return false;
      }
      Begin(report.endpoint, *run, EndpointLimitCause::kReported, now);
    }
    if (run->active) {
      run->active->limit.Set(report.limit, observed_at);
      EndIfReached(report.endpoint, *run, now);
    }
  }
  run->observed_at = observed_at;
  return true;
}

void EndpointLimits::OnReachedByOthers(const EndpointId& endpoint, MonotonicTime now) {
  Run* run = FindRun(endpoint);
  if (run == nullptr || !run->active) {
    return;
  }
  if (now - run->observed_at.value_or(run->active->since) >= options_.raise_after) {
    run->active->limit.Raise(now);
    run->observed_at = now;
    EndIfReached(endpoint, *run, now);
  }
}

std::vector<EndpointLimitReport> EndpointLimits::MakeReports(MonotonicTime now) const {
  std::vector<EndpointLimitReport> reports;
  for (const auto& [id, run] : runs_) {
    if (!run.listed || !run.responds || now - *run.own_observed_at > options_.report_age) {
      continue;
    }
    const bool ended_here = run.ended_at && now - *run.ended_at <= options_.report_age;
    if (run.active || ended_here) {
      reports.push_back(
          {.endpoint = id,
           .started_at_ms = run.started_at_ms,
           .limit = run.active ? run.active->limit.value() : 0,
           .age_us = std::chrono::duration_cast<Duration>(now - *run.own_observed_at).count()});
    }
  }
  std::sort(reports.begin(), reports.end(),
            [](const auto& a, const auto& b) { return a.age_us < b.age_us; });
  if (reports.size() > options_.max_reports) {
    reports.resize(options_.max_reports);
  }
  return reports;
}

std::vector<EndpointLimitChange> EndpointLimits::TakeChanges() {
  return std::exchange(changes_, {});
}

std::optional<std::uint32_t> EndpointLimits::Find(const EndpointId& endpoint) const {
  const auto found = runs_.find(endpoint);
  return found == runs_.end() || !found->second.active
             ? std::nullopt
             : std::optional(found->second.active->limit.calls());
}

void EndpointLimits::Log(EndpointLimitChange change) {
  if (changes_.size() < kMaxChanges) {
    changes_.push_back(std::move(change));
  }
}

}  // namespace acaciaspring::gateway
