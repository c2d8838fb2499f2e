#include "src/gateway/peer_links.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace acaciaspring::gateway {

namespace {

// After this many missed heartbeats, a daemon is considered stopped, paused or disconnected.
constexpr int kMissedHeartbeats = 5;
// Longest time between two complete statuses while load reports replace the heartbeats.
constexpr Duration kMaxStatusAge = std::chrono::seconds(1);
constexpr Duration kReconnectDelay = std::chrono::milliseconds(200);
// The first attempt after a loss shows whether the process ended or only the connection broke.
constexpr Duration kFirstReconnectDelay = std::chrono::milliseconds(20);
// Share of the memory limit of the daemon for messages being sent, and for those being received.
constexpr std::size_t kTransferDivisor = 8;
constexpr std::size_t kDefaultTransferBytes = std::size_t{32} << 20;

std::size_t TransferBytes(const GatewayOptions& options) {
  return options.memory_bytes ? *options.memory_bytes / kTransferDivisor : kDefaultTransferBytes;
}

void SendEncoded(net::PeerConnection& connection, const PeerMessage& message) {
  connection.Send(StreamOf(message), EncodePeerMessage(message));
}

void SendDeferred(net::PeerConnection& connection, DeferredPeerMessage message) {
  connection.SendDeferred(
      {.stream = message.stream,
       .bytes = message.bytes,
       .encode = [make = std::move(message.make)]() -> std::optional<std::string> {
         const auto made = make();
         return made ? std::optional(EncodePeerMessage(*made)) : std::nullopt;
       }});
}

}  // namespace

PeerLinks::PeerLinks(Context& context, std::string cluster_key, PeerHandlers handlers)
    : context_(context),
      cluster_key_(std::move(cluster_key)),
      handlers_(std::move(handlers)),
      resources_(TransferBytes(context.options)) {
  listener_ = std::make_unique<net::PeerListener>(
      context_.loop, context_.options.self.peer_address, cluster_key_,
      [this](net::PeerConnectionPtr connection) { return Accept(std::move(connection)); },
      resources_);
}

PeerLinks::~PeerLinks() {
  listener_.reset();
  incoming_.clear();
  outgoing_.clear();
}

net::PeerCallbacks PeerLinks::Accept(net::PeerConnectionPtr connection) {
  auto incoming = std::make_shared<Incoming>(Incoming{.connection = std::move(connection)});
  incoming_.emplace(incoming.get(), incoming);
  return {.on_message =
              [this, key = incoming.get()](std::string_view payload) {
                if (const auto found = incoming_.find(key); found != incoming_.end()) {
                  OnIncoming(std::shared_ptr<Incoming>(found->second), payload);
                }
              },
          .on_closed =
              [this, key = incoming.get()] {
                const auto found = incoming_.find(key);
                if (found == incoming_.end()) {
                  return;
                }
                const auto closed = found->second;
                incoming_.erase(found);
                if (closed->member) {
                  handlers_.on_requester_disconnected(closed->member->id);
                }
              }};
}

std::optional<PeerMessage> PeerLinks::Decode(std::string_view payload) {
  try {
    return DecodePeerMessage(payload);
  } catch (const wire::DecodeError& error) {
    ++resources_.drops.malformed;
    LOG(WARNING) << "dropped malformed peer message of " << payload.size()
                 << " bytes: " << error.what();
    return std::nullopt;
  }
}

void PeerLinks::OnIncoming(const std::shared_ptr<Incoming>& incoming, std::string_view payload) {
  auto message = Decode(payload);
  if (!message) {
    return;
  }
  if (auto* hello = std::get_if<PeerHello>(&*message)) {
    incoming->member = std::move(hello->member);
    return;
  }
  if (!incoming->member) {
    incoming->connection->Close();
    return;
  }
  const DaemonId id = incoming->member->id;
  if (const auto* status = std::get_if<PeerStatus>(&*message)) {
    last_statuses_[id] = {.member = *incoming->member,
                          .ready = status->ready,
                          .has_writable_partition = status->has_writable_partition,
                          .capacity_correction = status->capacity_correction,
                          .received_at = context_.loop.Now(),
                          .status_received_at = context_.loop.Now()};
    handlers_.on_status(id, *status);
    return;
  }
  if (const auto* load = std::get_if<PeerLoad>(&*message)) {
    // Sent instead of a heartbeat while the load changes.
    if (const auto last = last_statuses_.find(id); last != last_statuses_.end()) {
      last->second.received_at = context_.loop.Now();
    }
    handlers_.on_load(id, *load);
    return;
  }
  if (const auto* demand = std::get_if<PeerDemand>(&*message)) {
    handlers_.on_demand(id, *demand);
    return;
  }
  if (const auto* limits = std::get_if<PeerRateLimits>(&*message)) {
    handlers_.on_rate_limits(id, *limits);
    return;
  }
  if (const auto* crashes = std::get_if<PeerCrashReports>(&*message)) {
    handlers_.on_crashes(id, *crashes);
    return;
  }
  if (const auto* seen = std::get_if<PeerSeenEndpoints>(&*message)) {
    handlers_.on_seen_endpoints(*seen);
    return;
  }
  const std::weak_ptr<Incoming> weak = incoming;
  handlers_.on_message(id, std::move(*message),
                       ReplyFunction(
                           [weak](const PeerMessage& reply) {
                             if (const auto live = weak.lock()) {
                               SendEncoded(*live->connection, reply);
                             }
                           },
                           [weak](DeferredPeerMessage reply) {
                             if (const auto live = weak.lock()) {
                               SendDeferred(*live->connection, std::move(reply));
                             }
                           }));
}

void PeerLinks::SetMembers(const std::vector<Member>& members) {
  std::unordered_map<DaemonId, Member> target_members;
  for (const Member& member : members) {
    if (member.id != context_.options.self.id) {
      target_members[member.id] = member;
    }
  }
  const auto in_zone = std::count_if(
      target_members.begin(), target_members.end(),
      [&](const auto& entry) { return entry.second.zone == context_.options.self.zone; });
  periods_ = PlanHeartbeats(static_cast<std::size_t>(in_zone), target_members.size());
  std::vector<DaemonId> removed;
  for (const auto& [id, link] : outgoing_) {
    const auto found = target_members.find(id);
    if (found == target_members.end() || found->second.peer_address != link.member.peer_address) {
      removed.push_back(id);
    }
  }
  for (const DaemonId& id : removed) {
    outgoing_.erase(id);
    last_statuses_.erase(id);
    handlers_.on_disconnected(id);
  }
  for (const auto& [id, member] : target_members) {
    if (!outgoing_.contains(id)) {
      outgoing_[id].member = member;
      Connect(id);
    }
  }
}

void PeerLinks::Connect(const DaemonId& daemon) {
  Outgoing& link = outgoing_.at(daemon);
  link.connection = net::ConnectPeer(
      context_.loop, link.member.peer_address, cluster_key_,
      {.on_open =
           [this, daemon] {
             const auto found = outgoing_.find(daemon);
             if (found == outgoing_.end()) {
               return;
             }
             found->second.opened_at = context_.loop.Now();
             found->second.attempts = 0;
             found->second.connection->Send(
                 EncodePeerMessage(PeerHello{.member = context_.options.self}));
             handlers_.on_connected(daemon);
           },
       .on_message = [this,
                      daemon](std::string_view payload) { OnOutgoingMessage(daemon, payload); },
       .on_closed = [this, daemon] { OnOutgoingClosed(daemon); }},
      resources_);
}

void PeerLinks::OnOutgoingMessage(const DaemonId& daemon, std::string_view payload) {
  if (auto message = Decode(payload)) {
    handlers_.on_message(
        daemon, std::move(*message),
        ReplyFunction(
            [this, daemon](const PeerMessage& reply) { Send(daemon, reply); },
            [this, daemon](DeferredPeerMessage reply) { Defer(daemon, std::move(reply)); }));
  } else if (IsTurnResponse(payload)) {
    // Nothing tells which response now has a gap, so all that use the connection are broken off.
    outgoing_.at(daemon).connection->Close();
  }
}

void PeerLinks::OnOutgoingClosed(const DaemonId& daemon) {
  const auto found = outgoing_.find(daemon);
  if (found == outgoing_.end()) {
    return;
  }
  Outgoing& link = found->second;
  const Duration delay = link.attempts == 0 ? kFirstReconnectDelay : kReconnectDelay;
  link.retry_timer = context_.loop.After(delay, [this, daemon] {
    if (outgoing_.contains(daemon)) {
      Connect(daemon);
    }
  });
  ++link.attempts;
  const auto last_status = last_statuses_.find(daemon);
  if (link.attempts == 2 && last_status != last_statuses_.end()) {
    const Member exited = last_status->second.member;
    last_statuses_.erase(last_status);
    handlers_.on_exited(exited);
  }
  handlers_.on_disconnected(daemon);
}

bool PeerLinks::Send(const DaemonId& daemon, const PeerMessage& message) {
  const auto found = outgoing_.find(daemon);
  if (found == outgoing_.end() || !IsOpen(daemon)) {
    return false;
  }
  const net::PeerConnectionPtr connection = found->second.connection;
  if (std::holds_alternative<TurnCancelled>(message)) {
    // The request need not arrive first.
    connection->Withdraw(StreamOf(message));
  }
  const std::string payload = EncodePeerMessage(message);
  if (payload.size() > wire::kMaxMessageBytes) {
    LogTooLarge(daemon, payload.size());
    return false;
  }
  connection->Send(StreamOf(message), payload);
  return true;
}

void PeerLinks::LogTooLarge(const DaemonId& daemon, std::size_t bytes) {
  context_.events.Write("peer_message_too_large",
                        {{"peer", daemon.value()},
                         {"bytes", static_cast<std::int64_t>(bytes)},
                         {"limit_bytes", static_cast<std::int64_t>(wire::kMaxMessageBytes)}});
}

bool PeerLinks::Defer(const DaemonId& daemon, DeferredPeerMessage message) {
  if (!IsOpen(daemon)) {
    return false;
  }
  if (message.bytes > wire::kMaxMessageBytes) {
    LogTooLarge(daemon, message.bytes);
    return false;
  }
  SendDeferred(*outgoing_.at(daemon).connection, std::move(message));
  return true;
}

void PeerLinks::SendToAll(const PeerMessage& message) {
  const std::string payload = EncodePeerMessage(message);
  for (const auto& [id, link] : outgoing_) {
    if (IsOpen(id)) {
      link.connection->Send(StreamOf(message), payload);
    }
  }
}

bool PeerLinks::IsOpen(const DaemonId& daemon) const {
  const auto found = outgoing_.find(daemon);
  return found != outgoing_.end() && found->second.connection != nullptr &&
         found->second.connection->open();
}

void PeerLinks::Heartbeat(const PeerStatus& status) {
  CloseSilent();
  SendStatusIf(status, [this, now = context_.loop.Now()](const Outgoing& link) {
    // Half a period of tolerance, because the timer fires a little earlier or later.
    const Duration due = PeriodFor(link.member) - periods_.same_zone / 2;
    return now - link.last_sent_at >= due ||
           now - link.last_status_sent_at >= std::max(due, kMaxStatusAge);
  });
}

void PeerLinks::SendStatus(const PeerStatus& status) {
  SendStatusIf(status, [](const Outgoing&) { return true; });
}

void PeerLinks::SendStatusIf(const PeerStatus& status,
                             const std::function<bool(const Outgoing&)>& is_due) {
  const std::string payload = EncodePeerMessage(status);
  const net::MessageStreamId stream = StreamOf(status);
  const MonotonicTime now = context_.loop.Now();
  for (auto& [id, link] : outgoing_) {
    if (IsOpen(id) && is_due(link)) {
      link.connection->Send(stream, payload);
      link.last_status_sent_at = now;
      link.last_sent_at = now;
    }
  }
}

void PeerLinks::SendLoad(const PeerLoad& load) {
  const std::string payload = EncodePeerMessage(load);
  const net::MessageStreamId stream = StreamOf(load);
  const MonotonicTime now = context_.loop.Now();
  for (auto& [id, link] : outgoing_) {
    if (link.member.zone == context_.options.self.zone && IsOpen(id)) {
      link.connection->Send(stream, payload);
      link.last_sent_at = now;
    }
  }
}

void PeerLinks::CloseSilent() {
  const MonotonicTime now = context_.loop.Now();
  std::vector<DaemonId> silent;
  for (const auto& [id, link] : outgoing_) {
    const auto last_status = last_statuses_.find(id);
    const MonotonicTime last = std::max(link.opened_at, last_status == last_statuses_.end()
                                                            ? MonotonicTime()
                                                            : last_status->second.received_at);
    if (IsOpen(id) && now - last > PeriodFor(link.member) * kMissedHeartbeats) {
      silent.push_back(id);
    }
  }
  for (const DaemonId& id : silent) {
    context_.events.Write("peer_silent", {{"peer", id.value()}});
    outgoing_.at(id).connection->Close();
  }
}

std::size_t PeerLinks::undelivered_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [daemon, outgoing] : outgoing_) {
    bytes += outgoing.connection == nullptr ? 0 : outgoing.connection->undelivered_bytes();
  }
  for (const auto& [key, incoming] : incoming_) {
    bytes += incoming->connection->undelivered_bytes();
  }
  return bytes;
}

std::size_t PeerLinks::queued_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [daemon, outgoing] : outgoing_) {
    bytes += outgoing.connection == nullptr ? 0 : outgoing.connection->pending_bytes();
  }
  for (const auto& [key, incoming] : incoming_) {
    bytes += incoming->connection->pending_bytes();
  }
  return bytes;
}

Duration PeerLinks::PeriodFor(const Member& member) const {
  return member.zone == context_.options.self.zone ? periods_.same_zone : periods_.other_zone;
}

std::vector<ReadyPeer> PeerLinks::ReadyPeers() const {
  std::vector<ReadyPeer> ready;
  const MonotonicTime now = context_.loop.Now();
  for (const auto& [id, last_status] : last_statuses_) {
    if (last_status.ready &&
        now - last_status.received_at <= PeriodFor(last_status.member) * kMissedHeartbeats) {
      ready.push_back({.member = last_status.member,
                       .capacity_correction = last_status.capacity_correction,
                       .correction_age = now - last_status.status_received_at});
    }
  }
  return ready;
}

std::vector<DaemonId> PeerLinks::WritablePeers() const {
  std::vector<DaemonId> writable;
  for (const auto& [id, last_status] : last_statuses_) {
    if (last_status.has_writable_partition && IsOpen(id)) {
      writable.push_back(id);
    }
  }
  std::sort(writable.begin(), writable.end());
  return writable;
}

std::vector<DaemonId> PeerLinks::OpenPeers() const {
  std::vector<DaemonId> open;
  for (const auto& [id, link] : outgoing_) {
    if (IsOpen(id)) {
      open.push_back(id);
    }
  }
  return open;
}

}  // namespace acaciaspring::gateway
