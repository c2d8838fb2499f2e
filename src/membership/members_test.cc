#include "acaciaspring/membership.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "src/membership/messages.h"
#include "src/membership/test_network.h"

namespace acaciaspring::membership {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::MakeDeployment;
using testing::Node;
using testing::TestNetwork;
using testing::TestNetworkOptions;

namespace {

// Zone c contains nodes 5 and 6 of MakeDeployment.
bool IsolatesZoneC(const Node& from, const Node& to) {
  return (from.zone.value() == "c") != (to.zone.value() == "c");
}

}  // namespace

BOOST_AUTO_TEST_CASE(daemons_discover_each_other_through_seeds) {
  TestNetwork network = MakeDeployment({});
  BOOST_TEST(network.AllAlive());
  BOOST_TEST(network.At(6).members().size() == 7U);
  const Member* other = network.At(6).Find(TestNetwork::IdOf(3));
  BOOST_REQUIRE(other != nullptr);
  BOOST_TEST(other->zone.value() == "b");
  BOOST_TEST(other->http.port == 8000);
  BOOST_TEST(other->ready);
}

BOOST_AUTO_TEST_CASE(dead_daemon_is_detected) {
  TestNetwork network = MakeDeployment({});
  network.Kill(4);
  BOOST_TEST(network.RunUntil(seconds(30), [&] { return network.AllSee(4, MemberState::kDead); }));
  BOOST_TEST(network.SumCounter(&MembersCounters::deaths) == 6U);
}

// All daemons of one zone fail: the two remaining zones must confirm the deaths to each other.
BOOST_AUTO_TEST_CASE(zone_failure_is_detected) {
  TestNetwork network = MakeDeployment({});
  network.Kill(5);
  network.Kill(6);
  BOOST_TEST(network.RunUntil(seconds(30), [&] {
    return network.AllSee(5, MemberState::kDead) && network.AllSee(6, MemberState::kDead);
  }));
}

// Two of three zones fail, so no second zone can confirm the deaths. The survivors must still
// declare them after the longer single_zone_suspicion_time.
BOOST_AUTO_TEST_CASE(single_remaining_zone_declares_the_others_dead_after_the_longer_time) {
  TestNetwork network = MakeDeployment({});
  for (const std::size_t index : {0, 1, 2, 3, 4}) {
    network.Kill(index);
  }
  network.Run(seconds(40));
  BOOST_TEST(network.At(5).counters().deaths == 0U);
  BOOST_TEST(network.RunUntil(seconds(60), [&] { return network.AllSee(0, MemberState::kDead); }));
}

// Guards against false deaths: datagram loss must not cost a live daemon its shards.
BOOST_AUTO_TEST_CASE(loss_of_a_tenth_causes_no_death) {
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
    TestNetworkOptions options;
    options.seed = seed;
    TestNetwork network = MakeDeployment(options);
    network.SetLoss(0.1);
    network.Run(hours(6));
    BOOST_TEST_MESSAGE(
        "seed " << seed << ": " << network.SumCounter(&MembersCounters::suspicions)
                << " suspicions, " << network.SumCounter(&MembersCounters::refutations)
                << " refutations, " << network.SumCounter(&MembersCounters::deaths) << " deaths");
    BOOST_TEST(network.SumCounter(&MembersCounters::suspicions) > 0U);
    BOOST_TEST(network.SumCounter(&MembersCounters::deaths) == 0U);
  }
}

// Guards against a false death when a network fault separates a daemon from only one zone.
BOOST_AUTO_TEST_CASE(daemon_unreachable_from_one_zone_stays_alive) {
  TestNetwork network = MakeDeployment({});
  network.SetPartition([](const Node& from, const Node& to) {
    const auto crosses = [](const Node& left, const Node& right) {
      return left.zone.value() == "c" && right.address.ip == "10.0.0.1";
    };
    return crosses(from, to) || crosses(to, from);
  });
  network.Run(minutes(10));
  BOOST_TEST(network.SumCounter(&MembersCounters::deaths) == 0U);
}

BOOST_AUTO_TEST_CASE(paused_daemon_is_declared_dead_and_rejoins) {
  TestNetwork network = MakeDeployment({});
  const Member before = *network.At(0).Find(TestNetwork::IdOf(4));
  network.Pause(4);
  BOOST_REQUIRE(
      network.RunUntil(seconds(30), [&] { return network.AllSee(4, MemberState::kDead); }));
  network.Run(seconds(60));
  network.Resume(4);
  BOOST_TEST(network.RunUntil(seconds(30), [&] { return network.AllAlive(); }));
  // The resumed daemon received nothing while it was paused; it must not declare the others dead.
  BOOST_TEST(network.At(4).counters().deaths == 0U);
  const Member* after = network.At(0).Find(TestNetwork::IdOf(4));
  BOOST_TEST(after->refutation > before.refutation);
  // The incarnation is unchanged, so its shard claims stay valid.
  BOOST_TEST(after->incarnation == before.incarnation);
}

BOOST_AUTO_TEST_CASE(short_partition_of_a_zone_heals) {
  TestNetwork network = MakeDeployment({});
  network.SetPartition(IsolatesZoneC);
  BOOST_TEST(network.RunUntil(seconds(40), [&] {
    return network.View(0, 5) == MemberState::kDead && network.View(0, 6) == MemberState::kDead;
  }));
  // The isolated zone reaches no second zone that could confirm, so it declares no death.
  BOOST_TEST(network.At(5).counters().deaths + network.At(6).counters().deaths == 0U);
  network.SetPartition(nullptr);
  BOOST_TEST(network.RunUntil(seconds(60), [&] { return network.AllAlive(); }));
}

// After an hour each side considers the other dead. When the partition heals, each side receives
// death reports about members that are alive; these must cause no further deaths.
BOOST_AUTO_TEST_CASE(long_partition_of_a_zone_heals) {
  TestNetwork network = MakeDeployment({});
  network.SetPartition(IsolatesZoneC);
  network.Run(hours(1));
  BOOST_TEST((network.View(5, 0) == MemberState::kDead));
  BOOST_TEST((network.View(0, 5) == MemberState::kDead));
  const std::uint64_t deaths = network.SumCounter(&MembersCounters::deaths);
  network.SetPartition(nullptr);
  BOOST_TEST(network.RunUntil(seconds(120), [&] { return network.AllAlive(); }));
  network.Run(minutes(5));
  BOOST_TEST(network.SumCounter(&MembersCounters::deaths) == deaths);
}

BOOST_AUTO_TEST_CASE(leaving_is_disseminated_immediately) {
  TestNetwork network = MakeDeployment({});
  network.Leave(2);
  // A few one-way delays, far less than a probe period.
  network.Run(std::chrono::milliseconds(20));
  BOOST_TEST(network.AllSee(2, MemberState::kLeaving));
  network.Kill(2);
  BOOST_TEST(network.RunUntil(seconds(30), [&] { return network.AllSee(2, MemberState::kDead); }));
}

BOOST_AUTO_TEST_CASE(restarted_daemon_replaces_its_earlier_run) {
  TestNetwork network = MakeDeployment({});
  network.Kill(4);
  network.Run(seconds(1));
  network.Restart(4, 2);
  BOOST_TEST(network.RunUntil(seconds(30), [&] {
    const Member* member = network.At(0).Find(TestNetwork::IdOf(4));
    return network.AllAlive() && member->incarnation == Incarnation(2);
  }));
  BOOST_TEST(network.At(4).members().size() == 7U);
}

// A leaving daemon that restarts must become a full member again.
BOOST_AUTO_TEST_CASE(restart_ends_the_leaving_state) {
  TestNetwork network = MakeDeployment({});
  network.Leave(4);
  network.Run(seconds(5));
  network.Restart(4, 2);
  BOOST_TEST(network.RunUntil(seconds(30), [&] { return network.AllAlive(); }));
}

// A paused run that has been replaced must be notified that it is superseded, so that it stops.
BOOST_AUTO_TEST_CASE(replaced_run_learns_that_it_is_superseded) {
  TestNetwork network = MakeDeployment({});
  network.Restart(4, 9);
  BOOST_REQUIRE(network.RunUntil(seconds(30), [&] {
    return network.At(0).Find(TestNetwork::IdOf(4))->incarnation == Incarnation(9);
  }));
  network.Run(seconds(20));
  network.Restart(4, 5);
  BOOST_TEST(network.RunUntil(seconds(10), [&] { return network.At(4).superseded(); }));
}

BOOST_AUTO_TEST_CASE(revision_and_readiness_are_disseminated) {
  TestNetwork network = MakeDeployment({});
  network.At(3).SetRevision(Revision(77));
  network.At(3).SetReady(false);
  BOOST_TEST(network.RunUntil(seconds(15), [&] {
    for (std::size_t observer = 0; observer < network.size(); ++observer) {
      const Member* member = network.At(observer).Find(TestNetwork::IdOf(3));
      if (member->revision != Revision(77) || member->ready) {
        return false;
      }
    }
    return true;
  }));
}

// Guards against declaring a live daemon dead because the VM list wrongly omits it.
BOOST_AUTO_TEST_CASE(absence_from_the_vm_list_causes_no_death) {
  TestNetwork network = MakeDeployment({});
  for (int round = 0; round < 60; ++round) {
    for (std::size_t observer = 0; observer < network.size(); ++observer) {
      network.At(observer).Hint(network.now(), "10.0.0.5", VmHint::kAbsent);
    }
    network.Run(seconds(1));
  }
  BOOST_TEST(network.AllAlive());
  BOOST_TEST(network.SumCounter(&MembersCounters::deaths) == 0U);
}

// The VM is really gone: it is probed in the next period, before the remaining members of the probe
// round.
BOOST_AUTO_TEST_CASE(absence_from_the_vm_list_causes_an_early_probe) {
  TestNetwork network = MakeDeployment({});
  for (std::size_t observer = 0; observer < network.size(); ++observer) {
    network.At(observer).Hint(network.now(), "10.0.0.5", VmHint::kAbsent);
  }
  network.Kill(4);
  network.Run(std::chrono::milliseconds(2200));
  for (const std::size_t observer : {0, 1, 2, 3, 5, 6}) {
    // Every daemon has failed to reach it within the period that starts next.
    BOOST_TEST(network.At(observer).counters().failed_probes == 1U);
    BOOST_TEST((network.View(observer, 4) == MemberState::kSuspect));
  }
}

// Random, truncated and replayed datagrams must neither crash a daemon nor change its member list.
BOOST_AUTO_TEST_CASE(malformed_and_replayed_payloads_are_counted_and_dropped) {
  TestNetwork network = MakeDeployment({});
  Members& target = network.At(0);
  const net::Address from = network.NodeAt(3).address;
  const std::uint64_t version = target.version();
  const std::vector<OutgoingDatagram> sent = network.At(3).Leave(network.now());
  BOOST_REQUIRE(!sent.empty());
  const std::string valid = sent.front().payload;
  for (std::size_t size = 0; size < valid.size(); ++size) {
    target.Receive(network.now(), from, valid.substr(0, size));
  }
  BOOST_TEST(target.counters().malformed == valid.size());
  std::mt19937_64 random(7);
  for (int round = 0; round < 2000; ++round) {
    std::string noise(random() % 1500, '\0');
    for (char& byte : noise) {
      byte = static_cast<char>(random());
    }
    target.Receive(network.now(), from, noise);
  }
  BOOST_TEST(target.version() == version);
  target.Receive(network.now(), from, valid);
  BOOST_TEST(target.counters().replayed == 0U);
  BOOST_TEST((target.Find(TestNetwork::IdOf(3))->state == MemberState::kLeaving));
  target.Receive(network.now(), from, valid);
  BOOST_TEST(target.counters().replayed == 1U);
}

// A correctly encoded message can still violate a limit, e.g. by a name that is too long or an
// unknown kind.
BOOST_AUTO_TEST_CASE(out_of_bounds_messages_are_refused) {
  Envelope envelope;
  envelope.sender = DaemonId("x");
  envelope.body = Push{};
  BOOST_TEST(DecodeEnvelope(wire::Encode(envelope)).has_value());
  Update update;
  update.id = DaemonId("y");
  update.kind = static_cast<std::uint8_t>(UpdateKind::kDead);
  envelope.updates = {update};
  BOOST_TEST(DecodeEnvelope(wire::Encode(envelope)).has_value());
  envelope.updates[0].kind = 9;
  BOOST_TEST(!DecodeEnvelope(wire::Encode(envelope)).has_value());
  envelope.updates[0] = update;
  envelope.updates[0].id = DaemonId(std::string(kMaxNameBytes + 1, 'y'));
  BOOST_TEST(!DecodeEnvelope(wire::Encode(envelope)).has_value());
  envelope.updates[0] = update;
  envelope.updates[0].zones.assign(kMaxZones + 1, AvailabilityZone("z"));
  BOOST_TEST(!DecodeEnvelope(wire::Encode(envelope)).has_value());
  envelope.updates.assign(200, update);
  BOOST_TEST(!DecodeEnvelope(wire::Encode(envelope)).has_value());
}

// A daemon that reuses the address of a dead one must not keep that one alive by acknowledging its
// probes.
BOOST_AUTO_TEST_CASE(reused_address_does_not_hide_a_death) {
  TestNetwork network = MakeDeployment({});
  network.Kill(4);
  const std::size_t replacement = network.AddNode("b");
  network.NodeAt(replacement).address = network.NodeAt(4).address;
  network.NodeAt(4).address = net::Address{"10.9.9.9", 7000};
  network.Restart(replacement, 1);
  BOOST_TEST(network.RunUntil(seconds(40), [&] {
    return network.AllSee(4, MemberState::kDead) &&
           network.AllSee(replacement, MemberState::kAlive);
  }));
}

}  // namespace acaciaspring::membership
