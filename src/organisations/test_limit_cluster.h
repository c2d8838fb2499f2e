#ifndef ACACIASPRING_SRC_ORGANISATIONS_TEST_LIMIT_CLUSTER_H_
#define ACACIASPRING_SRC_ORGANISATIONS_TEST_LIMIT_CLUSTER_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "acaciaspring/organisations.h"

namespace acaciaspring::organisations {

/// @brief Daemons that exchange messages in memory, in virtual time, and the requests of callers.
class TestLimitCluster {
 public:
  using Milliseconds = std::chrono::milliseconds;
  struct Count {
    std::uint64_t asked = 0;
    std::uint64_t denied = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t granted_started = 0;
    std::uint64_t asked_started = 0;
    Duration longest_retry{};
  };
  /// @brief Requests of one organisation, spread evenly over some daemons.
  struct Load {
    OrganisationId organisation;
    double per_second = 0;
    std::vector<std::size_t> daemons = {};
    double started_part = 0.5;
    double due = 0;
  };

  explicit TestLimitCluster(std::vector<Organisation> limited)
      : organisations(std::move(limited)) {}

  /// @brief Starts a daemon, or starts it again.
  void Start(std::size_t index) {
    if (index >= daemons.size()) {
      daemons.resize(index + 1);
    }
    Daemon& daemon = daemons[index];
    daemon = {.limits = std::make_unique<RequestLimits>(
                  RequestLimitsOptions{.self = Id(index), .session = ++sessions_}),
              .group = daemon.group};
    daemon.limits->SetOrganisations(organisations, now);
    for (std::size_t other = 0; other < daemons.size(); ++other) {
      if (daemons[other].limits != nullptr) {
        daemons[other].limits->SetMembers(Registered(), now);
        Connect(index, other);
      }
    }
  }
  void StartAll(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      Start(index);
    }
  }
  /// @brief Ends the process of a daemon; the others notice it.
  void Kill(std::size_t index) {
    daemons[index].limits.reset();
    std::erase_if(waiting_, [&](const auto& entry) { return entry.first.first == index; });
    for (std::size_t other = 0; other < daemons.size(); ++other) {
      if (Linked(index, other) && daemons[other].limits != nullptr) {
        daemons[other].limits->OnEnded(Id(index), now);
      }
    }
  }
  void SetGroup(std::size_t index, int group) {
    daemons[index].group = group;
    for (std::size_t other = 0; other < daemons.size(); ++other) {
      if (daemons[other].limits != nullptr) {
        Connect(index, other);
      }
    }
  }
  void SetOrganisations(std::vector<Organisation> changed) {
    organisations = std::move(changed);
    for (Daemon& daemon : daemons) {
      daemon.limits->SetOrganisations(organisations, now);
    }
  }
  void Run(Duration duration) {
    for (const BootTime end = now + duration; now < end; now += Milliseconds(1)) {
      ++ticks_;
      Arrive();
      for (Load& load : loads) {
        for (load.due += load.per_second / 1000; load.due >= 1; load.due -= 1) {
          Send(load);
        }
      }
      for (std::size_t index = 0; index < daemons.size(); ++index) {
        if (Runs(index)) {
          if ((ticks_ + index * 7) % 200 == 0) {
            SendToAll(index, Heartbeat{});
          }
          if (daemons[index].limits->busy() ? ticks_ % 5 == 0 : ticks_ % 50 == 0) {
            Step(index);
          }
        }
      }
    }
  }
  /// @brief The largest number of permits used in any 5 s since the given time.
  std::size_t MostUsed(const OrganisationId& organisation, BootTime since = {}) {
    const std::deque<BootTime>& times = used[organisation];
    std::size_t most = 0;
    auto first = std::lower_bound(times.begin(), times.end(), since);
    for (auto last = first; last != times.end(); ++last) {
      while (*last - *first >= std::chrono::seconds(5)) {
        ++first;
      }
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
  }
  std::size_t UsedSince(const OrganisationId& organisation, BootTime since) {
    const std::deque<BootTime>& times = used[organisation];
    return static_cast<std::size_t>(times.end() -
                                    std::lower_bound(times.begin(), times.end(), since));
  }
  /// @brief Checks the bound of every organisation in every window.
  void CheckBounds(BootTime since = {}) {
    for (const Organisation& organisation : organisations) {
      const double bound =
          (organisation.limit->per_second * 5 + organisation.limit->burst) * 1.1 + 20;
      BOOST_TEST(static_cast<double>(MostUsed(organisation.id, since)) <= bound,
                 organisation.id << ": " << MostUsed(organisation.id, since) << " above " << bound);
    }
  }
  static DaemonId Id(std::size_t index) { return DaemonId("d" + std::to_string(index)); }
  std::vector<std::size_t> AllDaemons() const {
    std::vector<std::size_t> all;
    for (std::size_t index = 0; index < daemons.size(); ++index) {
      all.push_back(index);
    }
    return all;
  }

  struct Daemon {
    std::unique_ptr<RequestLimits> limits = {};
    int group = 0;
    bool frozen = false;
    std::map<std::size_t, BootTime> heard = {};
  };
  BootTime now = BootTime(std::chrono::seconds(1000));
  std::vector<Organisation> organisations;
  std::vector<Daemon> daemons;
  std::vector<Load> loads;
  std::map<OrganisationId, std::deque<BootTime>> used;
  std::map<OrganisationId, Count> counts;

 private:
  struct Heartbeat {};
  using Content = std::variant<Heartbeat, PermitRequest, PermitGrant>;
  struct Message {
    BootTime at;
    std::size_t from = 0;
    std::size_t to = 0;
    Content content;
  };

  bool Runs(std::size_t index) const {
    return daemons[index].limits != nullptr && !daemons[index].frozen;
  }
  bool Linked(std::size_t left, std::size_t right) const {
    return left != right && daemons[left].group == daemons[right].group;
  }
  std::vector<DaemonId> Registered() const {
    std::vector<DaemonId> ids;
    for (std::size_t index = 0; index < daemons.size(); ++index) {
      ids.push_back(Id(index));
    }
    return ids;
  }
  void Connect(std::size_t left, std::size_t right) {
    if (!Linked(left, right)) {
      return;
    }
    for (const auto& [from, to] : {std::pair(left, right), std::pair(right, left)}) {
      daemons[from].limits->OnConnected(Id(to));
      Step(from);
      Post(from, to, Heartbeat{});
    }
  }
  void Post(std::size_t from, std::size_t to, Content content) {
    if (Linked(from, to) && daemons[to].limits != nullptr) {
      messages_.push_back(
          {.at = now + Milliseconds(2), .from = from, .to = to, .content = std::move(content)});
    }
  }
  void SendToAll(std::size_t from, const Content& content) {
    for (std::size_t to = 0; to < daemons.size(); ++to) {
      Post(from, to, content);
    }
  }
  /// @brief Delivers the messages that have arrived. Those for a frozen daemon wait for it.
  void Arrive() {
    std::deque<Message> later;
    for (Message& message : std::exchange(messages_, {})) {
      Daemon& daemon = daemons[message.to];
      if (message.at > now || (daemon.frozen && daemon.limits != nullptr)) {
        later.push_back(std::move(message));
      } else if (daemon.limits != nullptr && Linked(message.from, message.to)) {
        Deliver(message);
      }
    }
    messages_.insert(messages_.begin(), std::make_move_iterator(later.begin()),
                     std::make_move_iterator(later.end()));
  }
  void Deliver(const Message& message) {
    Daemon& daemon = daemons[message.to];
    const DaemonId from = Id(message.from);
    std::visit(
        Overloaded{
            [&](const Heartbeat&) {
              daemon.heard[message.from] = now;
              daemon.limits->OnHeard(from, now);
            },
            [&](const PermitRequest& request) { daemon.limits->OnRequest(from, request, now); },
            [&](const PermitGrant& grant) { daemon.limits->OnGrant(from, grant, now); }},
        message.content);
  }
  void Step(std::size_t index) {
    Daemon& daemon = daemons[index];
    std::vector<DaemonId> ready;
    for (const auto& [other, heard_at] : daemon.heard) {
      if (daemons[other].limits != nullptr && now - heard_at <= std::chrono::seconds(1)) {
        ready.push_back(Id(other));
      }
    }
    daemon.limits->SetReady(ready, true, Milliseconds(200));
    RequestLimitsOutput output = daemon.limits->Step(now);
    messages_sent += output.requests.size() + output.grants.size();
    for (auto& [to, request] : output.requests) {
      Post(index, Index(to), std::move(request));
    }
    for (auto& [to, grant] : output.grants) {
      Post(index, Index(to), std::move(grant));
    }
    for (auto& [ticket, decision] : output.decisions) {
      const auto waiting = waiting_.extract({index, ticket});
      BOOST_REQUIRE(!waiting.empty());
      Decide(waiting.mapped().first, waiting.mapped().second, decision);
    }
  }
  static std::size_t Index(const DaemonId& id) { return std::stoul(id.value().substr(1)); }
  void Send(const Load& load) {
    const std::size_t index = load.daemons[std::uniform_int_distribution<std::size_t>(
        0, load.daemons.size() - 1)(random_)];
    if (!Runs(index)) {
      return;
    }
    const bool started = std::uniform_real_distribution<double>(0, 1)(random_) < load.started_part;
    Count& count = counts[load.organisation];
    ++count.asked;
    count.asked_started += started ? 1 : 0;
    const PermitDecision decision = daemons[index].limits->Acquire(
        load.organisation, started ? PermitUse::kStartedProgram : PermitUse::kOther,
        now + Milliseconds(2000), now);
    if (const auto* waits = std::get_if<PermitWaits>(&decision)) {
      waiting_.emplace(std::pair(index, waits->ticket), std::pair(load.organisation, started));
    } else {
      Decide(load.organisation, started, decision);
    }
  }
  void Decide(const OrganisationId& organisation, bool started, const PermitDecision& decision) {
    Count& count = counts[organisation];
    std::visit(Overloaded{[&](const Permit&) {
                            used[organisation].push_back(now);
                            count.granted_started += started ? 1 : 0;
                          },
                          [&](const PermitDenied& denied) {
                            ++count.denied;
                            count.longest_retry = std::max(count.longest_retry, denied.retry_after);
                          },
                          [&](const PermitUnanswered&) { ++count.unanswered; },
                          [](const PermitWaits&) { BOOST_FAIL("a decision is missing"); }},
               decision);
  }

 public:
  std::uint64_t messages_sent = 0;

 private:
  std::uint64_t ticks_ = 0;
  std::uint64_t sessions_ = 0;
  std::deque<Message> messages_;
  std::map<std::pair<std::size_t, PermitTicket>, std::pair<OrganisationId, bool>> waiting_;
  std::mt19937_64 random_{7};
};

}  // namespace acaciaspring::organisations

#endif  // ACACIASPRING_SRC_ORGANISATIONS_TEST_LIMIT_CLUSTER_H_
