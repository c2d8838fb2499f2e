#ifndef ACACIASPRING_SRC_GATEWAY_ENTRY_DIRECTORY_H_
#define ACACIASPRING_SRC_GATEWAY_ENTRY_DIRECTORY_H_

#include <functional>
#include <vector>

#include "src/gateway/capacity_correction.h"
#include "src/gateway/context.h"
#include "src/gateway/peer_links.h"

namespace acaciaspring::gateway {

struct EntryDirectoryHandlers {
  /// Without this daemon.
  std::function<std::vector<ReadyPeer>()> ready_peers = {};
  std::function<bool()> self_is_ready = {};
  /// All registered daemons.
  std::function<const std::vector<Member>&()> members = {};
};

/// @brief Entry point directory: measures this daemon's capacity and chooses the daemons that
/// callers should use.
class EntryDirectory {
 public:
  EntryDirectory(Context& context, EntryDirectoryHandlers handlers);
  EntryDirectory(const EntryDirectory&) = delete;
  EntryDirectory& operator=(const EntryDirectory&) = delete;
  /// @brief Starts to follow the capacities of the daemons. The event loop's delay is measured only
  /// while answers are weighted.
  void Start();
  EntryPoints Find(const AvailabilityZone& caller_zone);
  /// @brief True if the processor shares of the ready daemons differ by a factor of 3 or more, as
  /// of the last second.
  bool weighted() const { return weighted_; }
  double correction() const { return correction_.value(); }

 private:
  struct Candidates {
    std::vector<EntryPointCandidate> daemons = {};
    std::vector<net::Address> addresses = {};
  };
  Candidates MakeCandidates() const;
  /// @brief Finds out whether answers are weighted by capacity, and logs a change.
  void UpdateWeighting();
  void Measure();

  Context& context_;
  EntryDirectoryHandlers handlers_;
  CapacityCorrection correction_;
  std::uint64_t answers_ = 0;
  bool weighted_ = false;
  telemetry::Gauge& correction_gauge_;
  telemetry::Gauge& delay_gauge_;
  net::Timer measure_timer_;
  net::Timer weighting_timer_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_ENTRY_DIRECTORY_H_
