#include "src/organisations/permit_holder.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace acaciaspring::organisations {

namespace {

// How long a request may wait for its permit.
struct MaxWait {
  /// Part of its remaining time.
  int divisor;
  Duration limit;
};
// A program that is refused in the middle loses more time than its caller would have waited.
constexpr std::array<MaxWait, 2> kMaxWaits = {
    {{2, std::chrono::milliseconds(1500)}, {4, std::chrono::milliseconds(500)}}};
// Another grantor may take a second to take over, so the caller had better try again.
constexpr Duration kMaxUnansweredWait = std::chrono::milliseconds(500);
// The time by which the use of a permit is delayed counts against the tolerance of the limit.
constexpr double kStockPartOfWindow = 0.03;
// Below ten requests per second, a stock would mostly expire unused.
constexpr double kMinSteadyDemand = 10;
constexpr double kStockSeconds = 0.15;
constexpr std::uint32_t kMaxStock = 64;
// While permits are scarce the grantor sends them as they accrue, so it is asked less often.
constexpr Duration kScarceAskPeriod = std::chrono::milliseconds(50);
// The grantor forgets what is not repeated within 500 ms.
constexpr Duration kRepeatPeriod = std::chrono::milliseconds(200);
// An older answer says nothing about a new request.
constexpr Duration kAnswerAge = std::chrono::milliseconds(200);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);

std::size_t Index(PermitUse use) {
  return static_cast<std::size_t>(use);
}

}  // namespace

PermitHolder::PermitHolder(DaemonId self, const LimitTolerance& tolerance)
    : self_(std::move(self)),
      stock_validity_(std::chrono::duration_cast<Duration>(tolerance.window * kStockPartOfWindow)),
      random_(Hash64(self_.value())) {}

void PermitHolder::Recent::Add(double events, BootTime now) {
  if (now > updated) {
    count *= std::exp(-std::chrono::duration<double>(now - updated).count());
    updated = now;
  }
  count += events;
}

void PermitHolder::SetLimits(const std::unordered_map<OrganisationId, RequestLimit>& limits) {
  for (auto& [id, entry] : entries_) {
    if (!limits.contains(id)) {
      // The requests that wait no longer need a permit.
      for (Queue& queue : entry.queues) {
        for (const Waiting& waiting : std::exchange(queue.waiting, {})) {
          Decide(waiting.ticket, Permit{.organisation = id});
        }
      }
      changed_.erase(id);
      active_.erase(id);
    }
  }
  std::erase_if(entries_, [&](const auto& entry) { return !limits.contains(entry.first); });
  for (const auto& [id, limit] : limits) {
    Entry& entry = entries_[id];
    if (entry.limit != limit) {
      entry.limit = limit;
      entry.stock.clear();
    }
  }
}

void PermitHolder::SetGrantor(const OrganisationId& organisation,
                              const DaemonId& grantor,
                              std::uint64_t session) {
  Entry& entry = entries_.at(organisation);
  if (entry.grantor == grantor && entry.session == session) {
    return;
  }
  entry.grantor = grantor;
  entry.session = session;
  entry.received = 0;
  entry.returned = 0;
  entry.sent_at = {};
  for (Queue& queue : entry.queues) {
    queue.expected_at = {};
    queue.interval = {};
    if (!queue.waiting.empty()) {
      changed_.insert(organisation);
    }
  }
}

void PermitHolder::OnSuspended() {
  for (auto& [id, entry] : entries_) {
    entry.stock.clear();
    entry.received = 0;
    entry.returned = 0;
  }
}

void PermitHolder::OnConnected(const DaemonId& grantor) {
  for (const OrganisationId& id : active_) {
    if (Entry& entry = entries_.at(id); entry.grantor == grantor) {
      entry.sent_at = {};
      changed_.insert(id);
    }
  }
}

Permit PermitHolder::MakePermit(const OrganisationId& organisation,
                                const Entry& entry,
                                BootTime until) const {
  return {.organisation = organisation,
          .grantor = entry.grantor,
          .session = entry.session,
          .use_until = until};
}

PermitDenied PermitHolder::Deny(Entry& entry, const Queue& queue, BootTime now) {
  entry.refused.Add(1, now);
  const Duration expected = std::max(Duration(0), queue.expected_at - now);
  // The refused requests of the last second would need this long for their permits.
  const auto backlog = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(entry.refused.count / entry.limit.per_second));
  const double part = std::uniform_real_distribution<double>(0, 1)(random_);
  const auto spread = std::chrono::duration_cast<Duration>(
      std::min(std::max(expected, backlog), kMaxRetryAfter) * part);
  return {.retry_after = std::clamp(std::min(expected, kMaxRetryAfter) + spread, kMinRetryAfter,
                                    kMaxRetryAfter + kMaxRetryAfter)};
}

std::uint32_t PermitHolder::StockOf(const Entry& entry) {
  std::uint32_t permits = 0;
  for (const Stock& stock : entry.stock) {
    permits += stock.permits;
  }
  return permits;
}

std::uint32_t PermitHolder::WantedStock(const Entry& entry, BootTime now) const {
  Recent used = entry.used;
  used.Add(0, now);
  if (entry.grantor == self_ || used.count < kMinSteadyDemand) {
    return 0;
  }
  const auto wanted = static_cast<std::uint32_t>(std::ceil(used.count * kStockSeconds));
  return std::min(wanted, kMaxStock);
}

std::optional<Permit> PermitHolder::TakeFromStock(const OrganisationId& organisation,
                                                  Entry& entry,
                                                  BootTime now) {
  while (!entry.stock.empty()) {
    Stock& stock = entry.stock.front();
    if (stock.use_until <= now) {
      GiveBack(organisation, entry, stock);
      entry.stock.pop_front();
      continue;
    }
    const Permit permit{.organisation = organisation,
                        .grantor = stock.grantor,
                        .session = stock.session,
                        .use_until = stock.use_until};
    if (--stock.permits == 0) {
      entry.stock.pop_front();
    }
    return permit;
  }
  return std::nullopt;
}

void PermitHolder::GiveBack(const OrganisationId& organisation, Entry& entry, const Stock& stock) {
  // Permits of a former grantor are lost; nobody else may count them.
  if (stock.permits > 0 && stock.grantor == entry.grantor && stock.session == entry.session) {
    entry.returned += stock.permits;
    changed_.insert(organisation);
  }
}

PermitDecision PermitHolder::Acquire(const OrganisationId& organisation,
                                     PermitUse use,
                                     BootTime deadline,
                                     BootTime now) {
  Entry& entry = entries_.at(organisation);
  Queue& queue = entry.queues[Index(use)];
  const bool others_wait = std::any_of(entry.queues.begin(), entry.queues.end(),
                                       [](const Queue& one) { return !one.waiting.empty(); });
  if (!others_wait) {
    if (const auto permit = TakeFromStock(organisation, entry, now)) {
      entry.used.Add(1, now);
      if (StockOf(entry) <= WantedStock(entry, now) / 2) {
        changed_.insert(organisation);
      }
      return *permit;
    }
  }
  const MaxWait& max_wait = kMaxWaits.at(Index(use));
  const BootTime until =
      now + std::clamp(std::chrono::duration_cast<Duration>(deadline - now) / max_wait.divisor,
                       Duration(0), max_wait.limit);
  if (now - entry.answered_at < kAnswerAge && queue.expected_at > until) {
    return Deny(entry, queue, now);
  }
  if (queue.expected_at > now) {
    queue.expected_at += queue.interval;
  }
  const PermitTicket ticket = ++last_ticket_;
  queue.waiting.push_back({.ticket = ticket, .since = now, .until = until});
  tickets_[ticket] = {organisation, use};
  changed_.insert(organisation);
  active_.insert(organisation);
  return PermitWaits{ticket};
}

void PermitHolder::Cancel(PermitTicket ticket) {
  std::erase_if(decisions_, [&](const auto& decision) {
    if (decision.first != ticket) {
      return false;
    }
    if (const auto* permit = std::get_if<Permit>(&decision.second)) {
      Return(*permit);
    }
    return true;
  });
  const auto known = tickets_.find(ticket);
  if (known == tickets_.end()) {
    return;
  }
  const auto [organisation, use] = known->second;
  tickets_.erase(known);
  auto& waiting = entries_.at(organisation).queues[Index(use)].waiting;
  std::erase_if(waiting, [&](const Waiting& one) { return one.ticket == ticket; });
  changed_.insert(organisation);
}

void PermitHolder::Return(const Permit& permit) {
  if (const auto found = entries_.find(permit.organisation); found != entries_.end()) {
    GiveBack(permit.organisation, found->second,
             {.permits = 1, .grantor = permit.grantor, .session = permit.session});
  }
}

void PermitHolder::Decide(PermitTicket ticket, PermitDecision decision) {
  tickets_.erase(ticket);
  decisions_.emplace_back(ticket, std::move(decision));
}

std::optional<PermitDecision> PermitHolder::TakeDecision(PermitTicket ticket) {
  const auto found = std::find_if(decisions_.begin(), decisions_.end(),
                                  [&](const auto& decision) { return decision.first == ticket; });
  if (found == decisions_.end()) {
    return std::nullopt;
  }
  PermitDecision decision = std::move(found->second);
  decisions_.erase(found);
  return decision;
}

void PermitHolder::Serve(const OrganisationId& organisation,
                         Entry& entry,
                         std::uint32_t permits,
                         BootTime now) {
  entry.received += permits;
  const Permit permit = MakePermit(organisation, entry, now + stock_validity_);
  for (Queue& queue : entry.queues) {
    for (; permits > 0 && !queue.waiting.empty(); --permits) {
      entry.used.Add(1, now);
      Decide(queue.waiting.front().ticket, permit);
      queue.waiting.pop_front();
    }
  }
  if (permits > 0) {
    entry.stock.push_back({.permits = permits, .grantor = entry.grantor, .session = entry.session});
  }
}

void PermitHolder::RefuseLate(Entry& entry, Queue& queue, Duration wait, BootTime now) {
  queue.expected_at = now + wait;
  if (queue.waiting.empty()) {
    queue.interval = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / entry.limit.per_second));
    return;
  }
  queue.interval = wait / static_cast<std::int64_t>(queue.waiting.size());
  while (!queue.waiting.empty() && queue.expected_at > queue.waiting.back().until) {
    Decide(queue.waiting.back().ticket, Deny(entry, queue, now));
    queue.waiting.pop_back();
    queue.expected_at -= queue.interval;
  }
  queue.expected_at += queue.interval;
}

void PermitHolder::OnAnswer(const DaemonId& grantor,
                            BootTime asked_at,
                            const PermitAnswer& answer,
                            BootTime now) {
  const auto found = entries_.find(answer.organisation);
  if (found == entries_.end() || found->second.grantor != grantor) {
    return;
  }
  Entry& entry = found->second;
  entry.answered_at = now;
  const std::size_t stocks = entry.stock.size();
  Serve(answer.organisation, entry, answer.permits, now);
  if (entry.stock.size() > stocks) {
    entry.stock.back().use_until = asked_at + stock_validity_;
    active_.insert(answer.organisation);
  }
  const std::array waits{answer.started_wait_us, answer.other_wait_us};
  for (std::size_t i = 0; i < waits.size(); ++i) {
    const std::size_t before = entry.queues[i].waiting.size();
    RefuseLate(entry, entry.queues[i], std::clamp(Duration(waits[i]), Duration(0), kMaxRetryAfter),
               now);
    if (entry.queues[i].waiting.size() != before) {
      changed_.insert(answer.organisation);
    }
  }
}

void PermitHolder::Expire(BootTime now) {
  for (auto id = active_.begin(); id != active_.end();) {
    Entry& entry = entries_.at(*id);
    bool active = false;
    for (Queue& queue : entry.queues) {
      const std::size_t before = queue.waiting.size();
      std::erase_if(queue.waiting, [&](const Waiting& waiting) {
        const bool answered = entry.answered_at > waiting.since;
        const BootTime until =
            answered ? waiting.until : std::min(waiting.until, waiting.since + kMaxUnansweredWait);
        if (until > now) {
          return false;
        }
        if (answered) {
          Decide(waiting.ticket, Deny(entry, queue, now));
        } else {
          Decide(waiting.ticket, PermitUnanswered{});
        }
        return true;
      });
      if (queue.waiting.size() != before ||
          (!queue.waiting.empty() && now - entry.sent_at > kRepeatPeriod)) {
        changed_.insert(*id);
      }
      active = active || !queue.waiting.empty();
    }
    std::erase_if(entry.stock, [&](const Stock& stock) {
      if (stock.use_until > now) {
        return false;
      }
      GiveBack(*id, entry, stock);
      return true;
    });
    active = active || !entry.stock.empty();
    id = active ? std::next(id) : active_.erase(id);
  }
}

PermitWant PermitHolder::MakeWant(const OrganisationId& organisation, Entry& entry, BootTime now) {
  const auto count = [&](PermitUse use) {
    return static_cast<std::uint32_t>(entry.queues[Index(use)].waiting.size());
  };
  const std::uint32_t stock = StockOf(entry);
  const std::uint32_t wanted_stock = WantedStock(entry, now);
  entry.sent_at = now;
  return {.organisation = organisation,
          .started = count(PermitUse::kStartedProgram),
          .other = count(PermitUse::kOther),
          .spare = wanted_stock - std::min(wanted_stock, stock),
          .received = entry.received,
          .returned = std::exchange(entry.returned, 0)};
}

std::optional<PermitWant> PermitHolder::TakeWant(const OrganisationId& organisation, BootTime now) {
  changed_.erase(organisation);
  return MakeWant(organisation, entries_.at(organisation), now);
}

std::unordered_map<DaemonId, std::vector<PermitWant>> PermitHolder::TakeWants(BootTime now) {
  std::unordered_map<DaemonId, std::vector<PermitWant>> wants;
  for (auto id = changed_.begin(); id != changed_.end();) {
    Entry& entry = entries_.at(*id);
    const bool scarce = std::any_of(entry.queues.begin(), entry.queues.end(),
                                    [&](const Queue& queue) { return queue.expected_at > now; });
    if (entry.session == 0 || (scarce && now - entry.sent_at < kScarceAskPeriod)) {
      ++id;
      continue;
    }
    wants[entry.grantor].push_back(MakeWant(*id, entry, now));
    id = changed_.erase(id);
  }
  return wants;
}

}  // namespace acaciaspring::organisations
