#include "src/gateway/newest_entries.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace acaciaspring::gateway {

namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(100)};
constexpr Duration kPeriod = std::chrono::milliseconds(500);
constexpr Duration kHeartbeat = std::chrono::milliseconds(1200);
constexpr Duration kMaxDelay = std::chrono::seconds(6);
constexpr EndpointState kReady = EndpointState::kReady;
constexpr EndpointState kDraining = EndpointState::kDraining;

RegisteredEndpoint Entry(std::int64_t started_at_ms,
                         std::uint64_t sequence,
                         EndpointState state = kReady) {
  return {.id = EndpointId("e"),
          .state = state,
          .started_at_ms = started_at_ms,
          .sequence = EntrySequence(sequence)};
}

struct Fixture {
  /// @brief Reads a registry that lists one entry, or none.
  void Read(const std::optional<RegisteredEndpoint>& entry) {
    now += kPeriod;
    NewestEntries::Listing listing =
        entries.OnListed(entry ? std::vector{*entry} : std::vector<RegisteredEndpoint>(), now);
    outdated += listing.outdated.size();
    used = listing.endpoints.empty() ? std::nullopt : std::optional(listing.endpoints.front());
  }
  void ReadFor(const std::optional<RegisteredEndpoint>& entry, Duration duration) {
    for (const MonotonicTime end = now + duration; now < end;) {
      Read(entry);
      uses_ready |= IsReady();
    }
  }
  bool IsReady() const { return used && used->state == kReady; }

  NewestEntries entries;
  MonotonicTime now = kStart;
  std::optional<RegisteredEndpoint> used;
  std::size_t outdated = 0;
  bool uses_ready = false;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(newest_entries, Fixture)

// Guards against requests to an endpoint that drains, because an earlier "ready" of it is written
// late, for as long as nothing follows.
BOOST_AUTO_TEST_CASE(late_entry_does_not_revive_a_draining_endpoint) {
  Read(Entry(5, 7));
  Read(Entry(5, 9, kDraining));
  ReadFor(Entry(5, 8), std::chrono::minutes(5));
  BOOST_TEST(!uses_ready);
  BOOST_TEST(outdated == 1U);
  Read(Entry(5, 10, kDraining));
  BOOST_TEST((used && used->state == kDraining));
}

// The same after the entry was removed.
BOOST_AUTO_TEST_CASE(late_entry_does_not_bring_a_removed_endpoint_back) {
  for (const EndpointState state : {kReady, kDraining}) {
    entries = NewestEntries();
    Read(Entry(5, 9, state));
    ReadFor(std::nullopt, kMaxDelay);
    ReadFor(Entry(5, 8), std::chrono::minutes(5));
    BOOST_TEST(!uses_ready);
  }
}

// Guards against a gap in the use of an endpoint that runs, and against the use of one that has
// been removed just before the late write.
BOOST_AUTO_TEST_CASE(running_endpoint_is_used_until_its_next_entry_is_due) {
  Read(Entry(5, 9));
  for (int i = 0; i < 3; ++i) {
    Read(Entry(5, 8));
    BOOST_TEST(IsReady());
    BOOST_TEST((used->sequence == EntrySequence(9)));
  }
  Read(Entry(5, 10));
  BOOST_TEST(IsReady());
  ReadFor(Entry(5, 8), std::chrono::seconds(3));
  BOOST_TEST(!used.has_value());
}

// Guards against a start that is not used because its count begins anew, and against late entries
// of an earlier start.
BOOST_AUTO_TEST_CASE(later_start_is_used_at_once_and_outlasts_earlier_ones) {
  Read(Entry(5, 900, kDraining));
  Read(Entry(6, 1));
  BOOST_TEST(IsReady());
  Read(Entry(5, 901, kDraining));
  BOOST_TEST(IsReady());
  Read(Entry(6, 2));
  BOOST_TEST(IsReady());
  Read(Entry(6, 3, kDraining));
  ReadFor(Entry(5, 902), std::chrono::minutes(1));
  BOOST_TEST(!uses_ready);
}

// Guards against an endpoint that is never used again because its clock was set back between two
// starts.
BOOST_AUTO_TEST_CASE(start_at_an_earlier_time_is_used_once_it_is_known_to_run) {
  Read(Entry(500, 900));
  for (std::uint64_t sequence = 1; !IsReady() || used->started_at_ms != 400; ++sequence) {
    BOOST_REQUIRE(sequence < 20);
    ReadFor(Entry(400, sequence), kHeartbeat);
  }
  Read(Entry(400, 21, kDraining));
  BOOST_TEST(!IsReady());
}

// Guards against a daemon that takes a late write for a sign of life, because it has not read the
// registry for a while.
BOOST_AUTO_TEST_CASE(late_entries_after_a_gap_are_not_taken_for_a_running_endpoint) {
  for (const std::int64_t started : {4, 5}) {
    entries = NewestEntries();
    Read(Entry(5, 9, kDraining));
    Read(Entry(started, 6));
    now += std::chrono::minutes(1);
    ReadFor(Entry(started, 8), std::chrono::minutes(1));
    BOOST_TEST(!uses_ready);
  }
}

// Guards against entries that are left out because a field that only orders them is missing.
BOOST_AUTO_TEST_CASE(entries_without_an_order_are_used) {
  RegisteredEndpoint no_sequence = Entry(5, 0);
  no_sequence.sequence.reset();
  RegisteredEndpoint no_start = Entry(0, 1);
  for (const RegisteredEndpoint& entry : {no_sequence, no_start}) {
    Read(Entry(5, 9));
    Read(entry);
    BOOST_TEST(IsReady());
    Read(Entry(5, 8));
    BOOST_TEST(outdated > 0U);
    Read(Entry(5, 10));
    BOOST_TEST(IsReady());
  }
}

// Guards against a daemon that uses outdated entries because it has just started.
BOOST_AUTO_TEST_CASE(other_daemons_tell_what_they_have_seen) {
  for (const bool removed : {false, true}) {
    NewestEntries other;
    other.OnListed({Entry(5, 9, kDraining)}, now);
    if (removed) {
      other.OnListed({}, now);
    }
    entries = NewestEntries();
    Read(Entry(5, 8));
    BOOST_TEST(IsReady());
    entries.Learn(other.Seen(now), now);
    uses_ready = false;
    ReadFor(Entry(5, 8), std::chrono::minutes(1));
    BOOST_TEST(!uses_ready);
    // What others have seen of an earlier start changes nothing.
    Read(Entry(6, 1));
    entries.Learn(other.Seen(now), now);
    Read(Entry(6, 1));
    BOOST_TEST(IsReady());
    BOOST_TEST(entries.Seen(now).empty());
  }
}

// Guards against memory that grows with the number of endpoints that have ever existed.
BOOST_AUTO_TEST_CASE(removed_endpoints_are_forgotten) {
  std::vector<RegisteredEndpoint> listed(100, Entry(5, 1));
  for (std::size_t i = 0; i < listed.size(); ++i) {
    listed[i].id = EndpointId(std::to_string(i));
  }
  entries.OnListed(listed, now);
  BOOST_TEST(entries.size() == 100U);
  ReadFor(std::nullopt, std::chrono::seconds(31));
  BOOST_TEST(entries.size() == 0U);
}

// Guards against any order of delayed writes that makes a draining endpoint ready again or leaves
// out one that runs.
BOOST_AUTO_TEST_CASE(delayed_writes_in_any_order) {
  for (unsigned seed = 0; seed < 300; ++seed) {
    std::mt19937 random(seed);
    std::uniform_int_distribution<int> chance(0, 9);
    std::uniform_int_distribution<std::int64_t> delay(0, kMaxDelay.count());
    entries = NewestEntries();
    std::multimap<MonotonicTime, RegisteredEndpoint> writes;
    std::optional<RegisteredEndpoint> listed;
    std::int64_t started = 1;
    std::uint64_t sequence = 0;
    EndpointState state = kReady;
    /// The newest entry that was listed when the registry was read.
    std::pair<std::int64_t, std::uint64_t> newest_read;
    EndpointState newest_state = kReady;
    MonotonicTime next_write = now;
    for (const MonotonicTime end = now + std::chrono::minutes(2); now < end;) {
      if (now >= next_write) {
        next_write = now + kHeartbeat;
        if (state == kDraining && chance(random) == 0) {
          ++started;
          sequence = 0;
          state = kReady;
        } else if (chance(random) == 0) {
          state = kDraining;
        }
        const Duration late = chance(random) < 3 ? Duration(delay(random)) : Duration(0);
        writes.emplace(now + late, Entry(started, ++sequence, state));
      }
      while (!writes.empty() && writes.begin()->first <= now) {
        listed = writes.begin()->second;
        writes.erase(writes.begin());
      }
      Read(listed);
      if (!listed) {
        continue;
      }
      const std::pair order{listed->started_at_ms, listed->sequence->value()};
      if (order >= newest_read || newest_read.first == 0) {
        newest_read = order;
        newest_state = listed->state;
        BOOST_TEST((used && used->state == listed->state));
      }
      BOOST_TEST((!IsReady() || newest_state == kReady));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
