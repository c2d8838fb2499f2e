#ifndef ACACIASPRING_SRC_GATEWAY_NEWEST_ENTRIES_H_
#define ACACIASPRING_SRC_GATEWAY_NEWEST_ENTRIES_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "acaciaspring/gateway.h"

namespace acaciaspring::gateway {

/// @brief Newest entry that a daemon has seen of an endpoint that drains or is no longer listed.
struct SeenEndpoint {
  RegisteredEndpoint entry = {};
  /// The entry is no longer listed.
  bool removed = false;
  /// Microseconds since the entry was listed.
  std::int64_t age_us = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(entry, removed, age_us);
  }
};

/// @brief A listed entry that is older than one seen before.
struct OutdatedEntry {
  RegisteredEndpoint listed = {};
  RegisteredEndpoint newest = {};
  /// The newest entry is no longer listed.
  bool removed = false;
};

/// @brief Tells which entry of an endpoint is the newest one of its writer. The registry lists the
/// one that was written last, which can be an earlier one whose write was delayed.
class NewestEntries {
 public:
  struct Listing {
    /// The newest entries of the endpoints to use.
    std::vector<RegisteredEndpoint> endpoints;
    /// Entries that are found to be outdated for the first time.
    std::vector<OutdatedEntry> outdated;
  };

  /// @brief Sets the contents of the registry. An outdated entry is replaced by the newest one for
  /// as long as its writer needs to write the next, and is left out afterwards, or at once if the
  /// newest one has been removed.
  Listing OnListed(const std::vector<RegisteredEndpoint>& listed, MonotonicTime now);
  /// @brief What another daemon needs to recognise outdated entries that would be used.
  std::vector<SeenEndpoint> Seen(MonotonicTime now) const;
  /// @brief Adds what another daemon has seen.
  void Learn(const std::vector<SeenEndpoint>& seen, MonotonicTime now);

  std::size_t size() const { return newest_.size(); }

 private:
  /// @brief An outdated entry that is listed.
  struct Outdated {
    std::int64_t started_at_ms = 0;
    MonotonicTime first_listed_at;
    /// As listed once no delayed write is left.
    std::optional<EntrySequence> settled_sequence = {};
  };
  struct Newest {
    RegisteredEndpoint entry;
    /// Order of the newest entry that has one.
    std::int64_t started_at_ms = 0;
    std::optional<EntrySequence> sequence;
    /// As of the last listing.
    bool listed = false;
    MonotonicTime last_listed_at;
    std::optional<Outdated> outdated;
  };

  static bool IsOutdated(const RegisteredEndpoint& entry, const Newest& newest);
  /// @brief True if an entry of an earlier start must be of a running endpoint, because its count
  /// still advances.
  static bool IsRunning(const RegisteredEndpoint& entry, Newest& newest, MonotonicTime now);
  /// @brief Makes an entry the newest one. Its order is kept only if it has one.
  static void Accept(const RegisteredEndpoint& entry, Newest& newest);

  /// @brief The newest entry with the order of the newest one that has one.
  static RegisteredEndpoint Ordered(const Newest& newest);

  std::unordered_map<EndpointId, Newest> newest_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_NEWEST_ENTRIES_H_
