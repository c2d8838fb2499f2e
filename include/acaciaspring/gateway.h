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
#include "acaciaspring/organisations.h"
#include "acaciaspring/routing.h"
#include "acaciaspring/telemetry.h"

namespace acaciaspring::gateway {

using RequestId = StrongString<struct RequestIdTag>;
using SessionId = StrongString<struct SessionIdTag>;
using acaciaspring::ConfigurationVersion;

/// @brief Whether a request may be sent again after a failure.
enum class RequestKind : std::uint8_t {
  /// May be executed any number of times.
  kIdempotent,
  /// Must not be executed more than once.
  kAtMostOnce,
  /// A stream of events, executed at most once.
  kStream,
  /// A stream that its caller may resume after a given event.
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
  /// Longest time from the arrival of a request to the end of its response.
  Duration timeout = std::chrono::seconds(30);
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  std::vector<WeightedService> services = {};
  /// Largest number of endpoints that may execute one request.
  std::uint32_t max_attempts = 1;
  /// The gateway stores the turns of this route and sends endpoints the whole turn chain.
  bool retained = false;
  /// How long the turns are kept.
  Duration retention = std::chrono::seconds(60);
  /// Requests need no key, also where the configuration lists organisations.
  bool open = false;
};

struct Service {
  ServiceId id = {};
  /// Tokens represented by one event of a stream; 0 if the service is not a model engine.
  TokenCount tokens_per_event = {};
  /// KV memory of one engine; 0 if it is unknown.
  TokenCount kv_capacity = {};
};

/// @brief Limits on the size and the idle time of callers' requests.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} << 10;
  std::size_t max_body_bytes = std::size_t{4} << 20;
  Duration idle_timeout = std::chrono::seconds(15);
};

struct Configuration {
  ConfigurationVersion version = {};
  std::vector<Route> routes = {};
  std::vector<Service> services = {};
  /// If there are none, requests need no keys.
  std::vector<organisations::Organisation> organisations = {};
  CallerLimits limits = {};
  /// The text from which the configuration was parsed.
  std::string document = {};
};

/// @brief Parses the document of a configuration; throws an Error if it is invalid.
using ParseConfiguration = std::function<Configuration(const std::string& document)>;

enum class EndpointState : std::uint8_t { kReady, kDraining };

/// @brief Number of an entry that an endpoint has written; increases within one start.
using EntrySequence = StrongNumber<struct EntrySequenceTag>;

/// @brief An endpoint as listed in the endpoint registry.
struct RegisteredEndpoint {
  EndpointId id = {};
  ServiceId service = {};
  net::Address address = {};
  AvailabilityZone zone = {};
  /// Concurrent calls at which the endpoint counts as fully loaded.
  std::uint32_t slots = 1;
  EndpointState state = EndpointState::kReady;
  /// Start time of the endpoint; distinguishes two runs under the same id. 0 if it is unknown.
  std::int64_t started_at_ms = 0;
  /// Absent if it is unknown.
  std::optional<EntrySequence> sequence = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, address, zone, slots, state, started_at_ms, sequence);
  }
};

/// @brief A daemon of the cluster and its addresses.
struct Member {
  DaemonId id = {};
  /// Where other daemons connect.
  net::Address peer_address = {};
  /// Where callers connect.
  net::Address caller_address = {};
  AvailabilityZone zone = {};
  Incarnation incarnation = {};
  /// Written only if it is known and read only if bytes remain, so that members without it have the
  /// form of earlier versions. A member must therefore be the last part of a message.
  DaemonCapacity capacity = {};
  bool operator==(const Member&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, peer_address, caller_address, zone, incarnation);
    bool has_capacity = capacity != DaemonCapacity();
    if constexpr (Archive::is_loading::value) {
      has_capacity = archive.remaining() > 0;
    }
    if (has_capacity) {
      archive(capacity);
    }
  }
};

/// @brief A partition that the store's member group has assigned to this daemon.
struct AssignedPartition {
  ledger::PartitionId partition = {};
  ledger::OwnerEpoch epoch = {};
};

/// @brief Program, token budget and chain position of a request. Where requests belong to
/// organisations, the ids of programs, sessions and turns are prefixed by `id_prefix`.
struct ProgramContext {
  ProgramId program = {};
  SessionId session = {};
  /// Tokens that all turns of the program together may generate; absent if the request has no
  /// budget.
  std::optional<TokenCount> budget = {};
  /// Maximum number of tokens that this turn generates.
  TokenCount max_output = {};
  /// Empty for the first turn of a chain.
  ledger::TurnId previous_turn = {};
  /// Prefix for the id of the turn that this request starts.
  std::string id_prefix = {};
  template <class Archive>
  void serialize(Archive& archive) {
    bool has_budget = budget.has_value();
    TokenCount tokens = budget.value_or(TokenCount());
    archive(program, session, has_budget, tokens, max_output, previous_turn, id_prefix);
    budget = has_budget ? std::optional<TokenCount>(tokens) : std::nullopt;
  }
};

/// @brief Size of a model call's prompt and the prefix that it shares with other programs.
struct Prompt {
  /// 0 for a call without a prompt.
  TokenCount tokens = {};
  std::optional<SharedPrefix> shared_prefix = {};
  template <class Archive>
  void serialize(Archive& archive) {
    SharedPrefix prefix = shared_prefix.value_or(SharedPrefix());
    archive(tokens, prefix.id, prefix.tokens);
    shared_prefix = prefix.tokens == TokenCount() ? std::nullopt : std::optional(prefix);
  }
};

/// @brief A request received from a caller.
struct CallerRequest {
  RequestId id = {};
  std::string host = {};
  std::string method = {};
  std::string path = {};
  /// Path and query string.
  std::string target = {};
  /// Headers to forward to the endpoint.
  net::Headers headers = {};
  std::string body = {};
  /// How long the caller waits for the response.
  std::optional<Duration> deadline = {};
  std::optional<ProgramContext> program = {};
  Prompt prompt = {};
  /// Set by the gateway, where requests need a key.
  std::optional<organisations::Credential> credential = {};
  /// The connection on which the caller sent it, for the log.
  net::ConnectionId connection = {};
};

/// @brief Names of the headers exchanged with endpoints and callers, in lower case.
struct HeaderNames {
  std::string request_id = {};
  std::string deadline_ms = {};
  std::string expected_endpoint = {};
  std::string priority = {};
  /// Set by an endpoint that did not execute the request.
  std::string not_executed = {};
  /// Requests per second that the endpoint accepts from all daemons together.
  std::string rate_limit = {};
  /// Set to 1 by an endpoint that leaves. Between daemons it names the endpoint and its start.
  std::string leaving = {};
  /// The caller's key; never sent to endpoints where the configuration lists organisations.
  std::string caller_key = {};
  /// Names the organisation of a request to its endpoint.
  std::string organisation = {};
};

struct GatewayOptions {
  Member self = {};
  std::uint32_t partition_count = 1;
  HeaderNames headers = {};
  ledger::PartitionOptions partition = {};
  /// Longer responses of endpoints are broken off.
  std::size_t max_response_bytes = std::size_t{8} << 20;
  /// How long callers may use the addresses that the entry point directory returned.
  Duration directory_ttl = std::chrono::seconds(1);
  organisations::CallerKeysOptions caller_keys = {};
  /// The limits of organisations do not apply without it.
  std::optional<organisations::LimitTolerance> limit_tolerance = {};
  /// Memory of the daemon, of which bytes buffered for slow callers may take a part. Without it,
  /// only the bytes of each connection are limited.
  std::optional<std::size_t> memory_bytes = {};
  /// Parses configurations that other daemons send; none are applied without it.
  ParseConfiguration parse_configuration = {};
  /// Limit the calls in flight at endpoints that start or recover.
  bool limit_concurrency = false;
};

/// @brief Addresses at which callers can reach the cluster, and how long they are valid.
struct EntryPoints {
  std::vector<net::Address> addresses = {};
  Duration ttl = {};
};

/// @brief Sends callers' requests to endpoints, keeps the turns and budgets of the partitions that
/// this daemon owns, and forwards turns of other partitions to their owners.
class Gateway {
 public:
  /// @brief `store` must outlive the gateway.
  Gateway(net::Loop& loop, GatewayOptions options, ledger::PartitionStore& store);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// @brief Starts to exchange messages with the other daemons, authenticated by the key.
  /// `on_member_exited` is called when the process of another daemon has ended.
  void JoinCluster(const std::string& cluster_key,
                   std::function<void(const Member&)> on_member_exited);
  /// @brief Has no effect unless the version is higher than the current one.
  void SetConfiguration(Configuration configuration);
  /// @brief The current configuration was the newest one at some time after `asked_at`, when the
  /// request that showed this was sent.
  void ConfirmConfiguration(BootTime asked_at);
  /// @brief Sets the complete list of registered endpoints. Endpoints that are not listed get no
  /// more requests; after an outage of the registry they are kept for a few seconds.
  void SetEndpoints(const std::vector<RegisteredEndpoint>& endpoints);
  void SetMembers(std::vector<Member> members);
  /// @brief Sets the partitions assigned to this daemon as of `generation` of the member group.
  /// Calls `on_released` once all others are released; a later call replaces a callback that has
  /// not been called. To be confirmed to the group only then, so that turns in flight keep their
  /// tokens.
  void SetAssignment(std::vector<AssignedPartition> assigned,
                     ledger::OwnerEpoch generation,
                     std::function<void()> on_released);

  void Handle(CallerRequest request, net::HttpResponderPtr responder);
  /// @brief Addresses for a caller in `zone`; empty while no daemon is known to be ready.
  EntryPoints FindEntryPoints(const AvailabilityZone& zone) const;
  bool ready() const;
  const CallerLimits& limits() const;

  /// @brief Reports this daemon as not ready, stops serving its partitions and releases them; then
  /// calls `on_released`. Requests may still be open at that time, see open_requests(). Requests
  /// that may not be complete at `end`, when the process ends, are refused.
  void Drain(MonotonicTime end, std::function<void()> on_released);
  std::size_t open_requests() const;
  /// @brief Bytes of messages that other daemons have not acknowledged.
  std::size_t undelivered_peer_bytes() const;
  /// @brief The structured event log of the process.
  telemetry::EventLog& events();
  /// @brief The metrics in the Prometheus text format.
  std::string MetricsText() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_GATEWAY_H_
