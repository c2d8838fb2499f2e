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
using testing::Network;
using testing::NetworkOptions;
using testing::Node;

namespace {

// Nodes 5 and 6 of MakeDeployment.
bool CutsZoneC(const Node& from, const Node& to) {
  return (from.zone.value() == "c") != (to.zone.value() == "c");
}

}  // namespace

BOOST_AUTO_TEST_CASE(daemons_find_each_other_through_seeds) {
  Network network = MakeDeployment({});
  BOOST_TEST(network.AllAlive());
  BOOST_TEST(network.At(6).members().size() == 7U);
  const Member* other = network.At(6).Find(Network::IdOf(3));
  BOOST_REQUIRE(other != nullptr);
  BOOST_TEST(other->zone.value() == "b");
  BOOST_TEST(other->http.port == 8000);
  BOOST_TEST(other->ready);
}

BOOST_AUTO_TEST_CASE(dead_daemon_is_found) {
  Network network = MakeDeployment({});
  network.Kill(4);
  BOOST_TEST(network.RunUntil(seconds(30), [&] { return network.AllSee(4, MemberState::kDead); }));
  BOOST_TEST(network.Sum(&MembersCounters::deaths) == 6U);
}

// A whole zone fails: the two other zones confirm each other.
BOOST_AUTO_TEST_CASE(dead_zone_is_found) {
  Network network = MakeDeployment({});
  network.Kill(5);
  network.Kill(6);
  BOOST_TEST(network.RunUntil(seconds(30), [&] {
    return network.AllSee(5, MemberState::kDead) && network.AllSee(6, MemberState::kDead);
  }));
}

// Two of three zones fail: nobody can confirm, so the survivors need the longer time and not for
// ever.
BOOST_AUTO_TEST_CASE(last_zone_declares_the_others_dead_after_the_longer_time) {
  Network network = MakeDeployment({});
  for (const std::size_t index : {0, 1, 2, 3, 4}) {
    network.Kill(index);
  }
  network.Run(seconds(40));
  BOOST_TEST(network.At(5).counters().deaths == 0U);
  BOOST_TEST(network.RunUntil(seconds(60), [&] { return network.AllSee(0, MemberState::kDead); }));
}

// Lost datagrams must not cost a living daemon its shards.
BOOST_AUTO_TEST_CASE(loss_of_a_tenth_causes_no_death) {
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
    NetworkOptions options;
    options.seed = seed;
    Network network = MakeDeployment(options);
    network.SetLoss(0.1);
    network.Run(hours(6));
    BOOST_TEST_MESSAGE("seed " << seed << ": " << network.Sum(&MembersCounters::suspicions)
                               << " suspicions, " << network.Sum(&MembersCounters::refutations)
                               << " refutations, " << network.Sum(&MembersCounters::deaths)
                               << " deaths");
    BOOST_TEST(network.Sum(&MembersCounters::suspicions) > 0U);
    BOOST_TEST(network.Sum(&MembersCounters::deaths) == 0U);
  }
}

// A fault between one daemon and one zone is not the death of the daemon.
BOOST_AUTO_TEST_CASE(daemon_that_one_zone_cannot_reach_stays) {
  Network network = MakeDeployment({});
  network.Cut([](const Node& from, const Node& to) {
    const auto cut = [](const Node& left, const Node& right) {
      return left.zone.value() == "c" && right.address.ip == "10.0.0.1";
    };
    return cut(from, to) || cut(to, from);
  });
  network.Run(minutes(10));
  BOOST_TEST(network.Sum(&MembersCounters::deaths) == 0U);
}

BOOST_AUTO_TEST_CASE(paused_daemon_dies_and_rejoins) {
  Network network = MakeDeployment({});
  const Member before = *network.At(0).Find(Network::IdOf(4));
  network.Pause(4);
  BOOST_REQUIRE(
      network.RunUntil(seconds(30), [&] { return network.AllSee(4, MemberState::kDead); }));
  network.Run(seconds(60));
  network.Resume(4);
  BOOST_TEST(network.RunUntil(seconds(30), [&] { return network.AllAlive(); }));
  // The resumed daemon was silent itself: it must not take the others for dead.
  BOOST_TEST(network.At(4).counters().deaths == 0U);
  const Member* after = network.At(0).Find(Network::IdOf(4));
  BOOST_TEST(after->refutation > before.refutation);
  // The run is the same, so that its claims stay valid.
  BOOST_TEST(after->incarnation == before.incarnation);
}

BOOST_AUTO_TEST_CASE(short_partition_of_a_zone_heals) {
  Network network = MakeDeployment({});
  network.Cut(CutsZoneC);
  BOOST_TEST(network.RunUntil(seconds(40), [&] {
    return network.View(0, 5) == MemberState::kDead && network.View(0, 6) == MemberState::kDead;
  }));
  // The zone that is cut off has no second zone that confirms, so it declares no death.
  BOOST_TEST(network.At(5).counters().deaths + network.At(6).counters().deaths == 0U);
  network.Cut(nullptr);
  BOOST_TEST(network.RunUntil(seconds(60), [&] { return network.AllAlive(); }));
}

// After an hour each side holds the other as dead. The healing must not kill anybody again: the
// deaths that one side tells the other are about members that are alive there.
BOOST_AUTO_TEST_CASE(long_partition_of_a_zone_heals) {
  Network network = MakeDeployment({});
  network.Cut(CutsZoneC);
  network.Run(hours(1));
  BOOST_TEST((network.View(5, 0) == MemberState::kDead));
  BOOST_TEST((network.View(0, 5) == MemberState::kDead));
  const std::uint64_t deaths = network.Sum(&MembersCounters::deaths);
  network.Cut(nullptr);
  BOOST_TEST(network.RunUntil(seconds(120), [&] { return network.AllAlive(); }));
  network.Run(minutes(5));
  BOOST_TEST(network.Sum(&MembersCounters::deaths) == deaths);
}

BOOST_AUTO_TEST_CASE(leaving_spreads_at_once) {
  Network network = MakeDeployment({});
  network.Leave(2);
  // A few one-way delays, far less than a probe period.
  network.Run(std::chrono::milliseconds(20));
  BOOST_TEST(network.AllSee(2, MemberState::kLeaving));
  network.Kill(2);
  BOOST_TEST(network.RunUntil(seconds(30), [&] { return network.AllSee(2, MemberState::kDead); }));
}

BOOST_AUTO_TEST_CASE(restarted_daemon_replaces_its_earlier_run) {
  Network network = MakeDeployment({});
  network.Kill(4);
  network.Run(seconds(1));
  network.Restart(4, 2);
  BOOST_TEST(network.RunUntil(seconds(30), [&] {
    const Member* member = network.At(0).Find(Network::IdOf(4));
    return network.AllAlive() && member->incarnation == Incarnation(2);
  }));
  BOOST_TEST(network.At(4).members().size() == 7U);
}

// A leaving daemon that restarts is a full member again.
BOOST_AUTO_TEST_CASE(restart_ends_the_leaving_state) {
  Network network = MakeDeployment({});
  network.Leave(4);
  network.Run(seconds(5));
  network.Restart(4, 2);
  BOOST_TEST(network.RunUntil(seconds(30), [&] { return network.AllAlive(); }));
}

// A run that was replaced while it was paused must learn that it has to stop.
BOOST_AUTO_TEST_CASE(replaced_run_learns_that_it_is_superseded) {
  Network network = MakeDeployment({});
  network.Restart(4, 9);
  BOOST_REQUIRE(network.RunUntil(seconds(30), [&] {
    return network.At(0).Find(Network::IdOf(4))->incarnation == Incarnation(9);
  }));
  network.Run(seconds(20));
  network.Restart(4, 5);
  BOOST_TEST(network.RunUntil(seconds(10), [&] { return network.At(4).superseded(); }));
}

BOOST_AUTO_TEST_CASE(revision_and_readiness_ride_along) {
  Network network = MakeDeployment({});
  network.At(3).SetRevision(Revision(77));
  network.At(3).SetReady(false);
  BOOST_TEST(network.RunUntil(seconds(15), [&] {
    for (std::size_t observer = 0; observer < network.size(); ++observer) {
      const Member* member = network.At(observer).Find(Network::IdOf(3));
      if (member->revision != Revision(77) || member->ready) {
        return false;
      }
    }
    return true;
  }));
}

// A VM list that is wrong must not stop a daemon; one that is right speeds up its detection.
BOOST_AUTO_TEST_CASE(absence_in_the_vm_list_is_no_death) {
  Network network = MakeDeployment({});
  for (int round = 0; round < 60; ++round) {
    for (std::size_t observer = 0; observer < network.size(); ++observer) {
      network.At(observer).Hint(network.now(), "10.0.0.5", VmHint::kAbsent);
    }
    network.Run(seconds(1));
  }
  BOOST_TEST(network.AllAlive());
  BOOST_TEST(network.Sum(&MembersCounters::deaths) == 0U);
}

// The list is right: the next period probes the VM instead of the rest of the round first.
BOOST_AUTO_TEST_CASE(absence_in_the_vm_list_causes_an_early_probe) {
  Network network = MakeDeployment({});
  for (std::size_t observer = 0; observer < network.size(); ++observer) {
    network.At(observer).Hint(network.now(), "10.0.0.5", VmHint::kAbsent);
  }
  network.Kill(4);
  network.Run(std::chrono::milliseconds(2200));
  for (const std::size_t observer : {0, 1, 2, 3, 5, 6}) {
    // Everybody has failed to reach it after the period that starts next.
    BOOST_TEST(network.At(observer).counters().failed_probes == 1U);
    BOOST_TEST((network.View(observer, 4) == MemberState::kSuspect));
  }
}

// Random bytes, damaged and repeated datagrams must neither crash nor change the member list.
BOOST_AUTO_TEST_CASE(malformed_and_replayed_payloads_are_counted_and_dropped) {
  Network network = MakeDeployment({});
  Members& target = network.At(0);
  const net::Address from = network.NodeAt(3).address;
  const std::uint64_t version = target.version();
  const std::vector<OutgoingDatagram> sent = network.At(3).Leave(network.now());
  BOOST_REQUIRE(!sent.empty());
  const std::string whole = sent.front().payload;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    target.Receive(network.now(), from, whole.substr(0, size));
  }
  BOOST_TEST(target.counters().malformed == whole.size());
  std::mt19937_64 random(7);
  for (int round = 0; round < 2000; ++round) {
    std::string noise(random() % 1500, '\0');
    for (char& byte : noise) {
      byte = static_cast<char>(random());
    }
    target.Receive(network.now(), from, noise);
  }
  BOOST_TEST(target.version() == version);
  target.Receive(network.now(), from, whole);
  BOOST_TEST(target.counters().replayed == 0U);
  BOOST_TEST((target.Find(Network::IdOf(3))->state == MemberState::kLeaving));
  target.Receive(network.now(), from, whole);
  BOOST_TEST(target.counters().replayed == 1U);
}

// A valid encoding can still break a bound: names that are too long, kinds that do not exist.
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

// Another daemon that got the address of a dead one must not keep it alive by its answers.
BOOST_AUTO_TEST_CASE(reused_address_does_not_hide_a_death) {
  Network network = MakeDeployment({});
  network.Kill(4);
  const std::size_t heir = network.Start("b");
  network.NodeAt(heir).address = network.NodeAt(4).address;
  network.NodeAt(4).address = net::Address{"10.9.9.9", 7000};
  network.Restart(heir, 1);
  BOOST_TEST(network.RunUntil(seconds(40), [&] {
    return network.AllSee(4, MemberState::kDead) && network.AllSee(heir, MemberState::kAlive);
  }));
}

}  // namespace acaciaspring::membership
