#ifndef ACACIASPRING_SRC_ORGANISATIONS_PERMIT_GRANTOR_H_
#define ACACIASPRING_SRC_ORGANISATIONS_PERMIT_GRANTOR_H_

#include <set>

#include "src/organisations/permit_pool.h"

namespace acaciaspring::organisations {

/// @brief Grants permits from the shares that lessors lease to this daemon.
class PermitGrantor {
 public:
  struct Answer {
    DaemonId holder = {};
    std::int64_t asked_us = 0;
    PermitAnswer answer = {};
  };

  explicit PermitGrantor(const LimitTolerance& tolerance) : tolerance_(tolerance) {}

  void SetLimits(const std::unordered_map<OrganisationId, RequestLimit>& limits, BootTime now);
  /// @brief Applies the complete leases of a lessor.
  void SetLeases(const DaemonId& lessor, const PermitRequest& request, BootTime now);
  void OnHeard(const DaemonId& daemon, BootTime now);
  /// @brief Forgets what a former run of the daemon leased and wanted.
  void Forget(const DaemonId& daemon);
  /// @brief Forgets all leases and wants.
  void Clear(BootTime now);
  std::uint64_t LeaseSequence(const DaemonId& lessor) const;

  /// @brief Applies what a holder wants and appends the answers, its own included.
  void OnWant(const DaemonId& holder,
              std::int64_t asked_us,
              const PermitWant& want,
              BootTime now,
              std::vector<Answer>& answers);
  /// @brief Grants the permits that have accrued to the holders that wait.
  void Distribute(BootTime now, std::vector<Answer>& answers);
  /// @brief Applies the end of leases and of wants.
  void Expire(BootTime now);
  bool has_wants() const { return !wanted_.empty(); }

 private:
  struct Lessor {
    std::set<OrganisationId> organisations;
    std::uint64_t sequence = 0;
    std::uint32_t daemons = 1;
    Duration lease{};
    BootTime heard_at;
  };
  struct Holder {
    DaemonId id = {};
    std::uint32_t started = 0;
    std::uint32_t other = 0;
    /// Permits granted to it in total.
    std::uint64_t granted = 0;
    BootTime granted_at = {};
    BootTime heard_at = {};
    std::int64_t asked_us = 0;
    std::uint32_t new_permits = 0;
  };
  struct Entry {
    PermitPool pool;
    std::vector<Holder> holders = {};
    /// The holder that is served first.
    std::size_t first = 0;
  };

  void UpdateFractions(BootTime now);
  static void Serve(Entry& entry);
  static void ServeUse(Entry& entry, PermitUse use, std::uint32_t Holder::*wanted);
  static PermitAnswer MakeAnswer(const OrganisationId& organisation,
                                 const Entry& entry,
                                 Holder& holder,
                                 BootTime now);
  static bool IsWanted(const Entry& entry);
  static Holder& FindHolder(Entry& entry, const DaemonId& holder, std::uint64_t received);
  void Collect(const OrganisationId& organisation,
               Entry& entry,
               const DaemonId* asker,
               BootTime now,
               std::vector<Answer>& answers);

  LimitTolerance tolerance_;
  std::unordered_map<OrganisationId, Entry> entries_;
  std::unordered_map<DaemonId, Lessor> lessors_;
  /// Organisations for which holders wait.
  std::set<OrganisationId> wanted_;
};

}  // namespace acaciaspring::organisations

#endif  // ACACIASPRING_SRC_ORGANISATIONS_PERMIT_GRANTOR_H_
