#ifndef ACACIASPRING_SRC_MEMBERSHIP_TEST_NETWORK_H_
#define ACACIASPRING_SRC_MEMBERSHIP_TEST_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "acaciaspring/membership.h"

namespace acaciaspring::membership::testing {

/// @brief A daemon of the simulated network.
struct Node {
  std::unique_ptr<Members> members;
  AvailabilityZone zone;
  net::Address address;
  bool running = true;
  /// Datagrams to a paused process are queued in `socket_buffer` up to its capacity.
  bool paused = false;
  std::vector<std::pair<net::Address, std::string>> socket_buffer;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

struct TestNetworkOptions {
  std::uint64_t seed = 1;
  double loss = 0;
  Duration delay = std::chrono::microseconds(500);
  Duration tick = std::chrono::milliseconds(75);
  std::size_t seed_count = 3;
  MembersOptions members;
};

/// @brief Connects daemons by a lossy datagram network in virtual time. The same seed gives the
/// same run.
class TestNetwork {
 public:
  explicit TestNetwork(TestNetworkOptions options) : options_(options), random_(options.seed) {}

  /// @brief Adds and starts a daemon; its region is the first letter of its zone.
  std::size_t AddNode(const std::string& zone) {
    nodes_.emplace_back();
    const std::size_t index = nodes_.size() - 1;
    nodes_[index].zone = AvailabilityZone(zone);
    nodes_[index].address = net::Address{
        "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1), 7000};
    Restart(index, 1);
    ScheduleTick(index, Jitter(options_.tick));
    return index;
  }
  /// @brief Starts a new run of a daemon under the same id.
  void Restart(std::size_t index, std::uint64_t incarnation) {
    Node& node = nodes_[index];
    MembersOptions options = options_.members;
    options.self = IdOf(index);
    options.incarnation = Incarnation(incarnation);
    options.peer = node.address;
    options.http = net::Address{node.address.ip, 8000};
    options.zone = node.zone;
    options.region = Region(node.zone.value().substr(0, 1));
    for (std::size_t seed = 0; seed < options_.seed_count && seed < nodes_.size(); ++seed) {
      options.seeds.push_back(nodes_[seed].address);
    }
    node.members = std::make_unique<Members>(options, std::mt19937_64(random_()));
    node.members->SetReady(true);
    node.running = true;
    node.paused = false;
    node.socket_buffer.clear();
  }
  void Kill(std::size_t index) { nodes_[index].running = false; }
  void Pause(std::size_t index) { nodes_[index].paused = true; }
  void Resume(std::size_t index) {
    Node& node = nodes_[index];
    node.paused = false;
    for (auto& [from, payload] : std::exchange(node.socket_buffer, {})) {
      SendAll(index, node.members->Receive(now_, from, payload));
    }
  }
  void Leave(std::size_t index) { SendAll(index, nodes_[index].members->Leave(now_)); }
  /// @brief Drops all datagrams for which `is_partitioned` returns true.
  void SetPartition(std::function<bool(const Node& from, const Node& to)> is_partitioned) {
    is_partitioned_ = std::move(is_partitioned);
  }
  void SetLoss(double loss) { options_.loss = loss; }

  void Run(Duration duration) {
    const MonotonicTime end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      if (event.payload.empty()) {
        Tick(event.to);
      } else {
        Deliver(event);
      }
    }
    now_ = end;
  }
  /// @brief Runs until the condition holds; returns false if it does not hold within the limit.
  bool RunUntil(Duration limit, const std::function<bool()>& condition) {
    for (Duration elapsed{}; elapsed < limit; elapsed += std::chrono::milliseconds(250)) {
      if (condition()) {
        return true;
      }
      Run(std::chrono::milliseconds(250));
    }
    return condition();
  }

  static DaemonId IdOf(std::size_t index) { return DaemonId("daemon-" + std::to_string(index)); }
  Members& At(std::size_t index) { return *nodes_[index].members; }
  Node& NodeAt(std::size_t index) { return nodes_[index]; }
  std::size_t size() const { return nodes_.size(); }
  MonotonicTime now() const { return now_; }
  /// @brief State of `subject` in the observer's member list, or nullopt if it is not listed.
  std::optional<MemberState> View(std::size_t observer, std::size_t subject) const {
    const Member* member = nodes_[observer].members->Find(IdOf(subject));
    return member == nullptr ? std::nullopt : std::optional(member->state);
  }
  /// @brief True if every other running node, unless paused, has the subject in this state.
  bool AllSee(std::size_t subject, MemberState state) const {
    for (std::size_t observer = 0; observer < nodes_.size(); ++observer) {
      if (observer != subject && nodes_[observer].running && !nodes_[observer].paused &&
          View(observer, subject) != state) {
        return false;
      }
    }
    return true;
  }
  bool AllAlive() const {
    for (std::size_t subject = 0; subject < nodes_.size(); ++subject) {
      if (nodes_[subject].running && !AllSee(subject, MemberState::kAlive)) {
        return false;
      }
    }
    return true;
  }
  std::uint64_t SumCounter(std::uint64_t MembersCounters::*counter) const {
    std::uint64_t sum = 0;
    for (const Node& node : nodes_) {
      sum += node.members->counters().*counter;
    }
    return sum;
  }

 private:
  struct Event {
    MonotonicTime at;
    std::uint64_t order = 0;
    std::size_t to = 0;
    net::Address from;
    std::string payload;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  static constexpr std::size_t kSocketBufferDatagrams = 256;
  static constexpr std::size_t kHeaderBytes = 28 + wire::kMacBytes;

  Duration Jitter(Duration bound) {
    return Duration(
        static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>(bound.count())));
  }
  void ScheduleTick(std::size_t index, Duration delay) {
    events_.push(Event{now_ + delay, order_++, index, {}, {}});
  }
  void Tick(std::size_t index) {
    if (nodes_[index].running && !nodes_[index].paused) {
      SendAll(index, nodes_[index].members->Tick(now_));
    }
    ScheduleTick(index, options_.tick);
  }
  void SendAll(std::size_t from, const std::vector<OutgoingDatagram>& datagrams) {
    Node& sender = nodes_[from];
    for (const OutgoingDatagram& datagram : datagrams) {
      sender.bytes_sent += datagram.payload.size() + kHeaderBytes;
      largest_payload_ = std::max(largest_payload_, datagram.payload.size());
      for (std::size_t to = 0; to < nodes_.size(); ++to) {
        if (nodes_[to].address == datagram.to) {
          const bool lost = std::uniform_real_distribution<>(0, 1)(random_) < options_.loss;
          if (!lost && !(is_partitioned_ && is_partitioned_(sender, nodes_[to]))) {
            events_.push(Event{now_ + options_.delay + Jitter(options_.delay), order_++, to,
                               sender.address, datagram.payload});
          }
          break;
        }
      }
    }
  }
  void Deliver(const Event& event) {
    Node& node = nodes_[event.to];
    if (!node.running) {
      return;
    }
    node.bytes_received += event.payload.size() + kHeaderBytes;
    if (!node.paused) {
      SendAll(event.to, node.members->Receive(now_, event.from, event.payload));
    } else if (node.socket_buffer.size() < kSocketBufferDatagrams) {
      node.socket_buffer.emplace_back(event.from, event.payload);
    }
  }

  TestNetworkOptions options_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::priority_queue<Event> events_;
  std::function<bool(const Node&, const Node&)> is_partitioned_;
  std::uint64_t order_ = 0;
  std::size_t largest_payload_ = 0;
  MonotonicTime now_;

 public:
  std::size_t largest_payload() const { return largest_payload_; }
};

/// @brief Returns a network of seven daemons in three zones (3, 2 and 2) after it has converged.
inline TestNetwork MakeDeployment(TestNetworkOptions options) {
  TestNetwork network(std::move(options));
  for (const char* zone : {"a", "a", "a", "b", "b", "c", "c"}) {
    network.AddNode(zone);
  }
  network.RunUntil(std::chrono::seconds(30), [&] { return network.AllAlive(); });
  return network;
}

}  // namespace acaciaspring::membership::testing

#endif  // ACACIASPRING_SRC_MEMBERSHIP_TEST_NETWORK_H_
