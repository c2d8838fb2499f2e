#ifndef ACACIASPRING_SRC_ORGANISATIONS_PERMIT_HOLDER_H_
#define ACACIASPRING_SRC_ORGANISATIONS_PERMIT_HOLDER_H_

#include <array>
#include <deque>
#include <random>
#include <set>

#include "acaciaspring/organisations.h"

namespace acaciaspring::organisations {

/// @brief Obtains permits for the requests of this daemon.
class PermitHolder {
 public:
  using Decisions = std::vector<std::pair<PermitTicket, PermitDecision>>;

  PermitHolder(DaemonId self, const LimitTolerance& tolerance);

  void SetLimits(const std::unordered_map<OrganisationId, RequestLimit>& limits);
  bool HasLimit(const OrganisationId& organisation) const {
    return entries_.contains(organisation);
  }
  /// @brief Sets the grantor to ask; `session` is 0 if it cannot be asked.
  void SetGrantor(const OrganisationId& organisation,
                  const DaemonId& grantor,
                  std::uint64_t session);
  /// @brief Forgets permits that may have been received before this daemon was suspended.
  void OnSuspended();
  /// @brief Asks the grantor again for all requests that wait.
  void OnConnected(const DaemonId& grantor);

  PermitDecision Acquire(const OrganisationId& organisation,
                         PermitUse use,
                         BootTime deadline,
                         BootTime now);
  void Cancel(PermitTicket ticket);
  void Return(const Permit& permit);
  void OnAnswer(const DaemonId& grantor,
                BootTime asked_at,
                const PermitAnswer& answer,
                BootTime now);
  /// @brief Ends the wait of requests and the validity of the stock.
  void Expire(BootTime now);
  /// @brief What has to be sent now, by grantor.
  std::unordered_map<DaemonId, std::vector<PermitWant>> TakeWants(BootTime now);
  /// @brief What has to be sent for one organisation, whether or not it is due.
  std::optional<PermitWant> TakeWant(const OrganisationId& organisation, BootTime now);
  const DaemonId& GrantorOf(const OrganisationId& organisation) const {
    return entries_.at(organisation).grantor;
  }
  Decisions TakeDecisions() { return std::exchange(decisions_, {}); }
  /// @brief Removes the decision on the request, if there is one.
  std::optional<PermitDecision> TakeDecision(PermitTicket ticket);
  bool busy() const { return !tickets_.empty() || !changed_.empty() || !decisions_.empty(); }

 private:
  struct Waiting {
    PermitTicket ticket;
    BootTime since;
    BootTime until;
  };
  struct Stock {
    std::uint32_t permits = 0;
    BootTime use_until = {};
    DaemonId grantor = {};
    std::uint64_t session = 0;
  };
  /// A decaying number of events, about those of the last second.
  struct Recent {
    double count = 0;
    BootTime updated;
    void Add(double events, BootTime now);
  };
  /// Requests of one use.
  struct Queue {
    std::deque<Waiting> waiting;
    /// When a new request is expected to get its permit.
    BootTime expected_at;
    Duration interval{};
  };
  struct Entry {
    RequestLimit limit;
    DaemonId grantor;
    std::uint64_t session = 0;
    std::array<Queue, 2> queues;
    std::deque<Stock> stock;
    std::uint64_t received = 0;
    std::uint32_t returned = 0;
    BootTime sent_at;
    BootTime answered_at;
    Recent used;
    Recent refused;
  };

  Permit MakePermit(const OrganisationId& organisation, const Entry& entry, BootTime until) const;
  PermitDenied Deny(Entry& entry, const Queue& queue, BootTime now);
  void Serve(const OrganisationId& organisation, Entry& entry, std::uint32_t permits, BootTime now);
  void RefuseLate(Entry& entry, Queue& queue, Duration wait, BootTime now);
  void Decide(PermitTicket ticket, PermitDecision decision);
  std::optional<Permit> TakeFromStock(const OrganisationId& organisation,
                                      Entry& entry,
                                      BootTime now);
  std::uint32_t WantedStock(const Entry& entry, BootTime now) const;
  static std::uint32_t StockOf(const Entry& entry);
  PermitWant MakeWant(const OrganisationId& organisation, Entry& entry, BootTime now);
  void GiveBack(const OrganisationId& organisation, Entry& entry, const Stock& stock);

  DaemonId self_;
  Duration stock_validity_;
  std::unordered_map<OrganisationId, Entry> entries_;
  std::unordered_map<PermitTicket, std::pair<OrganisationId, PermitUse>> tickets_;
  /// Organisations for which the grantor has to be told something.
  std::set<OrganisationId> changed_;
  /// Organisations with waiting requests or a stock.
  std::set<OrganisationId> active_;
  Decisions decisions_;
  PermitTicket last_ticket_;
  std::mt19937_64 random_;
};

}  // namespace acaciaspring::organisations

#endif  // ACACIASPRING_SRC_ORGANISATIONS_PERMIT_HOLDER_H_
