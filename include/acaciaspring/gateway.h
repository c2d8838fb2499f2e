#ifndef ACACIASPRING_GATEWAY_H_
#define ACACIASPRING_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaspring/base.h"
#include "acaciaspring/ledger.h"
#include "acaciaspring/net.h"
#include "acaciaspring/telemetry.h"

namespace acaciaspring::gateway {

using RequestId = StrongString<struct RequestIdTag>;
using SessionId = StrongString<struct SessionIdTag>;
/// @brief Version of a configuration; a daemon never goes back to a lower one.
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;

/// @brief What may be sent again after a failure.
enum class RequestKind : std::uint8_t {
  /// Runs any number of times.
  kIdempotent,
  kAtMostOnce,
  /// A stream of events, at most once.
  kStream,
  /// A stream that its caller may resume after an event.
  kResumableStream,
};

struct WeightedService {
  ServiceId service = {};
  std::uint32_t weight = 1;
};

struct Route {
  std::string name = {};
  std::string host = {};
  /// Begins and ends with a slash.
  std::string path_prefix = {};
  RequestKind kind = RequestKind::kAtMostOnce;
  /// Longest time from the arrival of a request to the end of its answer.
  Duration timeout = std::chrono::seconds(30);
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  std::vector<WeightedService> services = {};
  /// Endpoints that may run one request.
  std::uint32_t max_attempts = 1;
  /// The system keeps the turns of this route and sends endpoints the whole chain.
  bool retained = false;
  Duration retention = std::chrono::seconds(60);
};

struct Service {
  ServiceId id = {};
  /// Tokens of one event of a stream; 0 for a service that is no model engine.
  TokenCount tokens_per_event = {};
};

/// @brief What callers may send, and how long they may take.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} << 10;
  std::size_t max_body_bytes = std::size_t{4} << 20;
  Duration idle_timeout = std::chrono::seconds(15);
};

struct Configuration {
  ConfigurationVersion version = {};
  std::vector<Route> routes = {};
  std::vector<Service> services = {};
  CallerLimits limits = {};
};

enum class EndpointState : std::uint8_t { kReady, kDraining };

/// @brief An endpoint as it describes itself in the register.
struct RegisteredEndpoint {
  EndpointId id = {};
  ServiceId service = {};
  net::Address address = {};
  AvailabilityZone zone = {};
  std::uint32_t slots = 1;
  EndpointState state = EndpointState::kReady;
  /// Start of the endpoint; tells two runs under one id apart.
  std::int64_t started_at_ms = 0;
};

/// @brief Where a daemon of this system can be reached.
struct Member {
  DaemonId id = {};
  /// For other daemons and for callers.
  net::Address peer_address = {};
  net::Address caller_address = {};
  AvailabilityZone zone = {};
  Incarnation incarnation = {};
  bool operator==(const Member&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, peer_address, caller_address, zone, incarnation);
  }
};

/// @brief A partition that the group has dealt to this daemon.
struct AssignedPartition {
  ledger::PartitionId partition = {};
  ledger::OwnerEpoch epoch = {};
};

/// @brief The program that a request belongs to.
struct ProgramContext {
  ProgramId program = {};
  SessionId session = {};
  /// Tokens that all turns of the program may generate; none for a request without a budget.
  std::optional<TokenCount> budget = {};
  /// Most tokens that this turn generates.
  TokenCount max_output = {};
  /// Empty for a turn that starts a chain.
  ledger::TurnId previous_turn = {};
  template <class Archive>
  void serialize(Archive& archive) {
    bool has_budget = budget.has_value();
    TokenCount tokens = budget.value_or(TokenCount());
    archive(program, session, has_budget, tokens, max_output, previous_turn);
    budget = has_budget ? std::optional<TokenCount>(tokens) : std::nullopt;
  }
};

/// @brief One request of a caller.
struct CallerRequest {
  RequestId id = {};
  std::string host = {};
  std::string method = {};
  std::string path = {};
  /// Path and query.
  std::string target = {};
  /// Headers to pass on.
  net::Headers headers = {};
  std::string body = {};
  /// Time for which the caller waits.
  std::optional<Duration> deadline = {};
  std::optional<ProgramContext> program = {};
};

/// @brief Header names towards endpoints and callers, lower case.
struct HeaderNames {
  std::string request_id = {};
  std::string deadline_ms = {};
  std::string expected_endpoint = {};
  std::string priority = {};
  /// An endpoint's statement that it did not run the request.
  std::string not_executed = {};
};

struct GatewayOptions {
  Member self = {};
  std::uint32_t partition_count = 1;
  HeaderNames headers = {};
  ledger::PartitionOptions partition = {};
  /// Callers' addresses of an entry directory answer are valid for this time.
  Duration directory_ttl = std::chrono::seconds(1);
};

/// @brief Answers of the entry directory.
struct EntryPoints {
  std::vector<net::Address> addresses = {};
  Duration ttl = {};
};

/// @brief Takes requests of callers to endpoints, keeps the turns and budgets of the partitions
/// that it owns, and works with the other daemons of the system.
class Gateway {
 public:
  /// @brief `store` outlives the gateway.
  Gateway(net::Loop& loop, GatewayOptions options, ledger::PartitionStore& store);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// @brief Starts to listen for other daemons; the key authenticates them. `on_member_gone` is
  /// called when the process of another daemon has ended.
  void JoinCluster(const std::string& cluster_key,
                   std::function<void(const Member&)> on_member_exited);
  /// @brief Ignores a version that is not above the one in force.
  void SetConfiguration(Configuration configuration);
  /// @brief The whole register as it was just read; endpoints that are not listed get no more
  /// requests, after an outage of the register some seconds later.
  void SetEndpoints(const std::vector<RegisteredEndpoint>& endpoints);
  void SetMembers(std::vector<Member> members);
  /// @brief The partitions of this daemon as of `generation` of the group.
  void SetAssignment(const std::vector<AssignedPartition>& assigned, ledger::OwnerEpoch generation);

  void Handle(CallerRequest request, net::HttpResponderPtr responder);
  /// @brief Entries for a caller of this zone; empty while none is known to be ready.
  EntryPoints FindEntryPoints(const AvailabilityZone& zone) const;
  bool ready() const;
  const CallerLimits& limits() const;

  /// @brief Stops taking new work; `on_idle` is called when no request is open and the partitions
  /// can be released.
  void Drain(std::function<void()> on_released);
  std::size_t open_requests() const;
  /// @brief The structured log of the process.
  telemetry::EventLog& events();
  /// @brief Text of the metrics.
  std::string MetricsText() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_GATEWAY_H_
