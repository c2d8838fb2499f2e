#include "src/daemon/cluster.h"

#include <glog/logging.h>

#include <utility>

#include "src/daemon/json.h"

namespace acaciaspring::daemon {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr Duration kPlanPeriod = std::chrono::milliseconds(100);
constexpr Duration kVmListPeriod = std::chrono::seconds(1);
constexpr std::size_t kMaxVmListBytes = std::size_t{1} << 20;

membership::MembersOptions MakeMembersOptions(const Context& context) {
  const config::Settings& settings = context.settings;
  membership::MembersOptions options;
  options.self = settings.daemon;
  options.incarnation = context.incarnation;
  options.peer = ToAddress(settings.peer);
  options.http = ToAddress(settings.http);
  options.zone = settings.zone;
  options.region = membership::Region(settings.region);
  for (const config::SocketAddress& seed : settings.seeds) {
    options.seeds.push_back(ToAddress(seed));
  }
  options.suspicion_time = settings.suspect_after;
  // The default limit on sent bytes is meant for the default probe period. Unless it is scaled, the
  // probes of a shorter period use it up, and the suspicions that are needed to declare a member
  // dead are delayed by seconds.
  options.max_sent_bytes_per_second *= static_cast<double>(options.probe_period.count()) /
                                       static_cast<double>(settings.probe_period.count());
  options.probe_period = settings.probe_period;
  options.probe_timeout = settings.probe_period / 3;
  return options;
}

placement::PlannerOptions MakePlannerOptions(const Context& context) {
  placement::PlannerOptions options;
  options.self = context.settings.daemon;
  options.incarnation = context.incarnation;
  options.settle_time = context.settings.suspect_after;
  options.max_batches_per_second = 5;
  return options;
}

journal::ShardSet ToShardSet(const std::vector<ShardId>& shards) {
  journal::ShardSet set;
  for (const ShardId shard : shards) {
    set.Add(shard);
  }
  return set;
}

std::optional<membership::VmHint> ParseVmState(const std::string& state) {
  if (state == "live") {
    return membership::VmHint::kLive;
  }
  if (state == "leaving") {
    return membership::VmHint::kLeaving;
  }
  return std::nullopt;
}

}  // namespace

Cluster::Cluster(Context context, ClusterHandlers handlers)
    : context_(context),
      handlers_(std::move(handlers)),
      members_(MakeMembersOptions(context), std::mt19937_64(context.random())),
      planner_(MakePlannerOptions(context)),
      socket_(context.loop,
              ToAddress(context.settings.peer),
              [this](const net::Address& from, std::string_view datagram) {
                OnDatagram(from, datagram);
              }) {}

void Cluster::Start() {
  tick_timer_ = context_.loop.Every(kTickPeriod, [this] { Tick(); });
  plan_timer_ = context_.loop.Every(kPlanPeriod, [this] { PlanShards(); });
  if (context_.settings.vm_list.has_value()) {
    vm_list_timer_ = context_.loop.Every(kVmListPeriod, [this] { FetchVmList(); });
  }
  OnMembersChanged();
}

void Cluster::Leave() {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  SendDatagrams(members_.Leave(context_.loop.Now()));
  OnMembersChanged();
}

void Cluster::SetReady(bool ready) {
  members_.SetReady(ready);
}

void Cluster::SetRevision(Revision revision) {
  members_.SetRevision(revision);
}

std::optional<DaemonId> Cluster::LiveOwner(ShardId shard) const {
  const journal::ShardOwner* owner = context_.journal.state().OwnerOf(shard);
  if (owner == nullptr || owner->released) {
    return std::nullopt;
  }
  const membership::Member* member = members_.Find(owner->daemon);
  if (member == nullptr || member->state == membership::MemberState::kDead ||
      member->incarnation != owner->incarnation) {
    return std::nullopt;
  }
  return owner->daemon;
}

bool Cluster::OwnsShard(ShardId shard) const {
  const journal::ShardOwner* owner = context_.journal.state().OwnerOf(shard);
  return owner != nullptr && !owner->released && owner->daemon == context_.settings.daemon &&
         owner->incarnation == context_.incarnation;
}

std::size_t Cluster::owned_shards() const {
  std::size_t count = 0;
  for (std::uint16_t shard = 0; shard < kShardCount; ++shard) {
    count += OwnsShard(ShardId(shard)) ? 1 : 0;
  }
  return count;
}

void Cluster::OnDatagram(const net::Address& from, std::string_view datagram) {
  const auto payload = wire::VerifyDatagram(context_.settings.cluster_key, datagram);
  if (!payload.has_value()) {
    context_.metrics
        .GetCounter("acaciaspring_datagrams_dropped", "Datagrams that failed authentication")
        .Increment();
    return;
  }
  SendDatagrams(members_.Receive(context_.loop.Now(), from, *payload));
}

void Cluster::SendDatagrams(const std::vector<membership::OutgoingDatagram>& datagrams) {
  for (const membership::OutgoingDatagram& datagram : datagrams) {
    socket_.Send(datagram.to, wire::SignDatagram(context_.settings.cluster_key, datagram.payload));
  }
}

void Cluster::Tick() {
  SendDatagrams(members_.Tick(context_.loop.Now()));
  if (members_.superseded()) {
    return handlers_.on_superseded();
  }
  if (members_.version() != processed_version_) {
    OnMembersChanged();
  }
}

void Cluster::OnMembersChanged() {
  processed_version_ = members_.version();
  std::map<DaemonId, Incarnation> alive_incarnations;
  for (const membership::Member& member : members_.members()) {
    if (member.state != membership::MemberState::kDead) {
      alive_incarnations[member.id] = member.incarnation;
      context_.peers.SetPeer(member.id, member.peer);
    }
  }
  for (const auto& [daemon, incarnation] : alive_incarnations_) {
    const auto current = alive_incarnations.find(daemon);
    if (current == alive_incarnations.end() || current->second != incarnation) {
      LOG(INFO) << "daemon " << daemon << " incarnation " << incarnation << " is dead";
      context_.peers.ClosePeer(daemon);
    }
  }
  for (const auto& [daemon, incarnation] : alive_incarnations) {
    if (!alive_incarnations_.contains(daemon)) {
      LOG(INFO) << "daemon " << daemon << " incarnation " << incarnation << " is alive";
    }
  }
  alive_incarnations_ = std::move(alive_incarnations);
  placement_.Update(members_.members());
  handlers_.on_changed();
}

void Cluster::PlanShards() {
  const journal::State& state = context_.journal.state();
  if (!context_.journal.caught_up()) {
    return;
  }
  const std::set<ShardId> busy = handlers_.busy_shards();
  const auto owner_of = [&](ShardId shard) -> std::optional<placement::ShardOwner> {
    const journal::ShardOwner* owner = state.OwnerOf(shard);
    if (owner == nullptr) {
      return std::nullopt;
    }
    return placement::ShardOwner{owner->daemon, owner->incarnation, owner->epoch, owner->released};
  };
  const placement::ShardPlan plan =
      planner_.Plan(context_.loop.Now(), members_.members(), placement_, owner_of,
                    [&](ShardId shard) { return busy.contains(shard); });
  for (const ShardId shard : plan.stop) {
    handlers_.set_draining(shard, true);
  }
  for (const ShardId shard : plan.resume) {
    handlers_.set_draining(shard, false);
  }
  if (!plan.release.empty()) {
    ReleaseShards(plan.release);
  }
  if (!plan.claim.empty()) {
    ClaimShards(plan.claim);
  }
}

void Cluster::ClaimShards(const std::vector<ShardId>& shards) {
  journal::ShardsClaimed record;
  record.shards = ToShardSet(shards);
  record.owner = context_.settings.daemon;
  record.incarnation = context_.incarnation;
  record.observed = context_.journal.state().applied_offset();
  LOG(INFO) << "claiming " << shards.size() << " shards; log applied up to offset "
            << record.observed;
  const auto result = context_.journal.Append(std::move(record), [this, shards](const auto&) {
    for (const ShardId shard : shards) {
      if (OwnsShard(shard) && !planner_.IsStopped(shard)) {
        handlers_.set_draining(shard, false);
      }
    }
  });
  if (!std::holds_alternative<journal::RecordId>(result)) {
    planner_.AppendFailed(shards);
  }
}

void Cluster::ReleaseShards(const std::vector<ShardId>& shards) {
  journal::ShardsReleased record;
  record.shards = ToShardSet(shards);
  record.owner = context_.settings.daemon;
  LOG(INFO) << "releasing " << shards.size() << " shards";
  const auto result = context_.journal.Append(std::move(record), nullptr);
  if (!std::holds_alternative<journal::RecordId>(result)) {
    planner_.AppendFailed(shards);
  }
}

// The VM list lags behind the actual state, so its entries are only hints that start probes.
void Cluster::FetchVmList() {
  net::HttpClientRequest request;
  request.server = ToAddress(*context_.settings.vm_list);
  request.target = "/vms";
  request.io_timeout = kVmListPeriod;
  net::Fetch(context_.http, std::move(request), kMaxVmListBytes, [this](net::HttpReply reply) {
    const auto* finished = std::get_if<net::HttpFinished>(&reply.result);
    if (finished == nullptr || finished->status != 200) {
      return;
    }
    const auto list = ParseJson(reply.body);
    if (!list.has_value() || !list->isArray()) {
      return;
    }
    for (const Json::Value& vm : *list) {
      if (!vm.isObject() || !vm["state"].isString() || !vm["address"].isString()) {
        continue;
      }
      const auto hint = ParseVmState(vm["state"].asString());
      const std::string address = vm["address"].asString();
      if (hint.has_value()) {
        members_.Hint(context_.loop.Now(), address.substr(0, address.find(':')), *hint);
      }
    }
  });
}

}  // namespace acaciaspring::daemon
