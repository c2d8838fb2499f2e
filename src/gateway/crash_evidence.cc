#include "src/gateway/crash_evidence.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace acaciaspring::gateway {

namespace {

// Losses from which a request counts as repeated.
constexpr std::size_t kRepeated = 2;

std::vector<std::uint64_t> Shortest(const std::set<std::uint64_t>& sizes, std::size_t count) {
  return {sizes.begin(),
          std::next(sizes.begin(), static_cast<std::ptrdiff_t>(std::min(count, sizes.size())))};
}

}  // namespace

void CrashEvidence::Add(const CrashReport& report, MonotonicTime now) {
  const MonotonicTime at = now - std::max(Duration(report.age_us), Duration(0));
  if (at + options_.validity <= now) {
    return;
  }
  const auto [crash, is_new] = crashes_.try_emplace({report.endpoint, report.started_at_ms});
  crash->second.at = is_new ? at : std::min(crash->second.at, at);
  for (const LostRequest& lost : report.requests) {
    if (crash->second.requests.size() >= options_.max_requests_per_crash) {
      break;
    }
    const MonotonicTime started_at = at - std::max(Duration(lost.running_us), Duration(0));
    const auto [known, is_new_loss] = crash->second.requests.try_emplace(
        lost.request, Loss{.lost = lost, .started_at = started_at});
    known->second.lost.whole = known->second.lost.whole || lost.whole;
    known->second.lost.unanswered = known->second.lost.unanswered || lost.unanswered;
    known->second.started_at = std::max(known->second.started_at, started_at);
    if (is_new_loss) {
      AddLoss(lost);
    }
  }
  if (crashes_.size() > options_.max_crashes) {
    RemoveCrash(std::min_element(
        crashes_.begin(), crashes_.end(),
        [](const auto& left, const auto& right) { return left.second.at < right.second.at; }));
  }
  Update();
}

void CrashEvidence::AddLoss(const LostRequest& lost) {
  const std::size_t losses = ++losses_[lost.request];
  if (losses == options_.crashes_to_quarantine) {
    ++suspects_;
  }
  if (losses == kRepeated && lost.body_bytes > kStartBytes) {
    repeated_[lost.start][lost.request] = lost.body_bytes;
  }
}

void CrashEvidence::RemoveLoss(const LostRequest& lost) {
  const auto found = losses_.find(lost.request);
  const std::size_t losses = found->second--;
  if (losses == options_.crashes_to_quarantine) {
    --suspects_;
  }
  if (losses == kRepeated) {
    if (const auto alike = repeated_.find(lost.start); alike != repeated_.end()) {
      alike->second.erase(lost.request);
      if (alike->second.empty()) {
        repeated_.erase(alike);
      }
    }
  }
  if (found->second == 0) {
    losses_.erase(found);
  }
}

std::vector<std::uint64_t> CrashEvidence::LostSizes(RequestFingerprint start) const {
  std::set<std::uint64_t> sizes;
  for (const auto& [run, crash] : crashes_) {
    for (const auto& [request, loss] : crash.requests) {
      if (loss.lost.start == start && loss.lost.body_bytes > kStartBytes) {
        sizes.insert(loss.lost.body_bytes);
      }
    }
  }
  return Shortest(sizes, options_.max_shorter_forms);
}

std::vector<std::uint64_t> CrashEvidence::RepeatedSizes(RequestFingerprint start) const {
  const auto alike = repeated_.find(start);
  if (alike == repeated_.end()) {
    return {};
  }
  std::set<std::uint64_t> sizes;
  for (const auto& [request, body_bytes] : alike->second) {
    sizes.insert(body_bytes);
  }
  return Shortest(sizes, options_.max_shorter_forms);
}

void CrashEvidence::RemoveCrash(std::map<RunKey, Crash>::iterator crash) {
  for (const auto& [request, loss] : crash->second.requests) {
    RemoveLoss(loss.lost);
  }
  crashes_.erase(crash);
}

std::set<RequestFingerprint> CrashEvidence::Quarantined() const {
  std::set<RequestFingerprint> requests;
  for (const auto& [request, suspect] : quarantined_) {
    requests.insert(request);
  }
  return requests;
}

bool CrashEvidence::Clear(RequestFingerprint request) {
  if (!losses_.contains(request)) {
    return false;
  }
  for (auto& [run, crash] : crashes_) {
    if (const auto loss = crash.requests.extract(request)) {
      RemoveLoss(loss.mapped().lost);
    }
  }
  Update();
  return true;
}

void CrashEvidence::Expire(MonotonicTime now) {
  const std::size_t former = crashes_.size();
  for (auto crash = crashes_.begin(); crash != crashes_.end();) {
    const auto current = crash++;
    if (now - current->second.at >= options_.validity) {
      RemoveCrash(current);
    }
  }
  if (crashes_.size() != former) {
    Update();
  }
}

bool CrashEvidence::HasCrash(const EndpointId& endpoint, std::int64_t started_at_ms) const {
  return crashes_.contains({endpoint, started_at_ms});
}

bool CrashEvidence::LacksLoss(const EndpointId& endpoint,
                              std::int64_t started_at_ms,
                              RequestFingerprint request) const {
  const auto crash = crashes_.find({endpoint, started_at_ms});
  return crash != crashes_.end() && !crash->second.requests.contains(request);
}

std::map<RequestFingerprint, CrashEvidence::Suspect> CrashEvidence::FindSuspects() const {
  std::map<RequestFingerprint, Suspect> suspects;
  for (const auto& [run, crash] : crashes_) {
    for (const auto& [request, loss] : crash.requests) {
      if (losses_.at(request) < options_.crashes_to_quarantine) {
        continue;
      }
      Suspect& suspect = suspects[request];
      ++suspect.crashes;
      suspect.unanswered += loss.lost.unanswered ? 1 : 0;
      suspect.whole += loss.lost.whole ? 1 : 0;
      suspect.last_crash_at = std::max(suspect.last_crash_at, crash.at);
    }
  }
  return suspects;
}

void CrashEvidence::Update() {
  quarantined_.clear();
  if (suspects_ == 0) {
    return;
  }
  const auto suspects = FindSuspects();
  // The request with the most crashes explains these; other requests on the same endpoints were
  // only beside it.
  std::vector<const Crash*> unexplained;
  for (const auto& [run, crash] : crashes_) {
    unexplained.push_back(&crash);
  }
  std::sort(unexplained.begin(), unexplained.end(),
            [](const Crash* left, const Crash* right) { return left->at < right->at; });
  while (true) {
    std::map<RequestFingerprint, Count> counts;
    for (const Crash* crash : unexplained) {
      for (const auto& [request, loss] : crash->requests) {
        if (!suspects.contains(request)) {
          continue;
        }
        Count& count = counts[request];
        if (count.crashes == 0) {
          count.first = crash->at;
        }
        if (count.in_turn == 0 || loss.started_at >= count.last_in_turn) {
          count.last_in_turn = crash->at;
          ++count.in_turn;
        }
        count.last = crash->at;
        ++count.crashes;
      }
    }
    std::erase_if(counts,
                  [&](const auto& count) { return !IsConclusive(count.second, unexplained); });
    // Among suspects that were lost together each time, one that was lost itself is preferred to a
    // shorter form, and one that had no answer yet is more likely to be the cause. If the choice is
    // wrong, the next crash of the right one corrects it.
    const auto rank = [&](const auto& count) {
      const Suspect& suspect = suspects.at(count.first);
      return std::make_tuple(count.second.crashes, suspect.crashes, suspect.whole,
                             suspect.unanswered, count.first);
    };
    const auto worst = std::max_element(
        counts.begin(), counts.end(),
        [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
    if (worst == counts.end()) {
      return;
    }
    const RequestFingerprint request = worst->first;
    quarantined_[request] = suspects.at(request);
    std::erase_if(unexplained,
                  [&](const Crash* crash) { return crash->requests.contains(request); });
  }
}

bool CrashEvidence::IsConclusive(const Count& count,
                                 const std::vector<const Crash*>& unexplained) const {
  if (count.in_turn < options_.crashes_to_quarantine) {
    return false;
  }
  // While endpoints crash by themselves, a request that is sent again is lost in several crashes by
  // chance. One that causes crashes is lost in a large part of those since its first.
  const auto meanwhile = std::count_if(
      unexplained.begin(), unexplained.end(),
      [&](const Crash* crash) { return crash->at >= count.first && crash->at <= count.last; });
  return count.in_turn >= options_.crashes_without_doubt ||
         static_cast<double>(count.crashes) >=
             options_.min_share_of_crashes * static_cast<double>(meanwhile);
}

std::optional<Quarantine> CrashEvidence::Find(const RequestFingerprints& request,
                                              MonotonicTime now) const {
  auto quarantine = Find(request.whole, now);
  for (const ShorterForm& shorter : request.shorter) {
    if (!quarantine) {
      quarantine = Find(shorter.request, now);
    }
  }
  return quarantine;
}

std::optional<Quarantine> CrashEvidence::Find(RequestFingerprint fingerprint,
                                              MonotonicTime now) const {
  const auto found = quarantined_.find(fingerprint);
  if (found == quarantined_.end()) {
    return std::nullopt;
  }
  const MonotonicTime end = found->second.last_crash_at + options_.validity;
  if (end <= now) {
    return std::nullopt;
  }
  return Quarantine{.crashes = found->second.crashes,
                    .remaining = std::chrono::duration_cast<Duration>(end - now)};
}

std::vector<CrashReport> CrashEvidence::MakeReports(MonotonicTime now) const {
  std::vector<CrashReport> reports;
  for (const auto& [run, crash] : crashes_) {
    CrashReport report{.endpoint = run.first,
                       .started_at_ms = run.second,
                       .age_us = std::chrono::duration_cast<Duration>(now - crash.at).count()};
    for (const auto& [request, loss] : crash.requests) {
      if (losses_.at(request) >= kRepeated) {
        report.requests.push_back(loss.lost);
        report.requests.back().running_us =
            std::chrono::duration_cast<Duration>(crash.at - loss.started_at).count();
      }
    }
    if (!report.requests.empty()) {
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

}  // namespace acaciaspring::gateway
