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

/// @brief One daemon of the simulated network.
struct Node {
  std::unique_ptr<Members> members;
  AvailabilityZone zone;
  net::Address address;
  bool running = true;
  /// A paused process keeps its socket: datagrams wait in `inbox` up to the socket buffer.
  bool paused = false;
  std::vector<std::pair<net::Address, std::string>> inbox;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

struct NetworkOptions {
  std::uint64_t seed = 1;
  double loss = 0;
  Duration delay = std::chrono::microseconds(500);
  Duration tick = std::chrono::milliseconds(75);
  std::size_t seed_count = 3;
  MembersOptions members;
};

/// @brief Daemons over a lossy datagram network in virtual time; equal seeds give equal runs.
class Network {
 public:
  explicit Network(NetworkOptions options) : options_(options), random_(options.seed) {}

  /// @brief Starts a daemon; its region is the first letter of the zone.
  std::size_t Start(const std::string& zone) {
    nodes_.emplace_back();
    const std::size_t index = nodes_.size() - 1;
    nodes_[index].zone = AvailabilityZone(zone);
    nodes_[index].address = net::Address{
        "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1), 7000};
    Restart(index, 1);
    ScheduleTick(index, Jitter(options_.tick));
    return index;
  }
  /// @brief Replaces the process of a node by a new run of the same id.
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
    node.inbox.clear();
  }
  void Kill(std::size_t index) { nodes_[index].running = false; }
  void Pause(std::size_t index) { nodes_[index].paused = true; }
  void Resume(std::size_t index) {
    Node& node = nodes_[index];
    node.paused = false;
    for (auto& [from, payload] : std::exchange(node.inbox, {})) {
      SendAll(index, node.members->Receive(now_, from, payload));
    }
  }
  void Leave(std::size_t index) { SendAll(index, nodes_[index].members->Leave(now_)); }
  /// @brief Datagrams between nodes for which it returns true are lost.
  void Cut(std::function<bool(const Node& from, const Node& to)> cut) { cut_ = std::move(cut); }
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
  /// @brief Runs until the condition holds; false if it does not within the limit.
  bool RunUntil(Duration limit, const std::function<bool()>& condition) {
    for (Duration waited{}; waited < limit; waited += std::chrono::milliseconds(250)) {
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
  /// @brief What one node believes about another; nothing if it does not know it.
  std::optional<MemberState> View(std::size_t observer, std::size_t subject) const {
    const Member* member = nodes_[observer].members->Find(IdOf(subject));
    return member == nullptr ? std::nullopt : std::optional(member->state);
  }
  /// @brief True if every running node believes this about the subject.
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
  std::uint64_t Sum(std::uint64_t MembersCounters::*counter) const {
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
          if (!lost && !(cut_ && cut_(sender, nodes_[to]))) {
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
    } else if (node.inbox.size() < kSocketBufferDatagrams) {
      node.inbox.emplace_back(event.from, event.payload);
    }
  }

  NetworkOptions options_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::priority_queue<Event> events_;
  std::function<bool(const Node&, const Node&)> cut_;
  std::uint64_t order_ = 0;
  std::size_t largest_payload_ = 0;
  MonotonicTime now_;

 public:
  std::size_t largest_payload() const { return largest_payload_; }
};

/// @brief Seven daemons in three zones (3, 2 and 2), converged.
inline Network MakeDeployment(NetworkOptions options) {
  Network network(std::move(options));
  for (const char* zone : {"a", "a", "a", "b", "b", "c", "c"}) {
    network.Start(zone);
  }
  network.RunUntil(std::chrono::seconds(30), [&] { return network.AllAlive(); });
  return network;
}

}  // namespace acaciaspring::membership::testing

#endif  // ACACIASPRING_SRC_MEMBERSHIP_TEST_NETWORK_H_
