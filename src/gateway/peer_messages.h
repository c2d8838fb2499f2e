#ifndef ACACIASPRING_SRC_GATEWAY_PEER_MESSAGES_H_
#define ACACIASPRING_SRC_GATEWAY_PEER_MESSAGES_H_

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"
#include "src/gateway/crash_monitor.h"
#include "src/gateway/endpoint_table.h"
#include "src/gateway/newest_entries.h"
#include "src/gateway/response_sink.h"

namespace acaciaspring::gateway {

/// @brief First message of a connection; identifies the daemon that opened it.
struct PeerHello {
  Member member = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(member);
  }
};

struct OwnedPartition {
  ledger::PartitionId partition = {};
  ledger::OwnerEpoch epoch = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(partition, epoch);
  }
};

/// @brief Sent several times a second; also serves as the heartbeat of a connection.
struct PeerStatus {
  bool ready = false;
  InFlightCounts in_flight = {};
  /// Partitions served by the sender.
  std::vector<OwnedPartition> owned = {};
  /// The sender serves a partition that currently accepts records.
  bool has_writable_partition = false;
  /// Factor from 0.1 to 1 by which the sender's measurements reduce its capacity.
  double capacity_correction = 1;
  /// Concurrency limits of endpoints; empty where they are not enabled.
  std::vector<EndpointLimitReport> endpoint_limits = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(ready, in_flight, owned, has_writable_partition, capacity_correction, endpoint_limits);
  }
};

/// @brief Sent to the daemons of the zone when the calls in flight have changed since the last
/// status.
struct PeerLoad {
  InFlightCounts in_flight = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(in_flight);
  }
};

/// @brief Sent to all daemons when the services that the sender calls change.
struct PeerDemand {
  std::vector<ServiceId> services = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(services);
  }
};

/// @brief Sent to all daemons when the rate limits that endpoints name change.
struct PeerRateLimits {
  std::vector<RateLimitReport> reports = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(reports);
  }
};

/// @brief Asks the owner of a program to run a turn. The sender has already chosen route and
/// service, so the daemons may have different configuration versions.
struct TurnRequest {
  ExchangeId exchange = {};
  RequestId id = {};
  ServiceId service = {};
  RequestKind kind = RequestKind::kStream;
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  bool retained = false;
  std::int64_t retention_us = 0;
  TokenCount tokens_per_event = {};
  std::int64_t remaining_us = 0;
  ProgramContext program = {};
  Prompt prompt = {};
  std::optional<organisations::Credential> credential = {};
  std::string method = {};
  std::string target = {};
  net::Headers headers = {};
  std::string body = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, id, service, kind, priority, max_attempts, retained, retention_us,
            tokens_per_event, remaining_us, program, prompt, credential, method, target, headers,
            body);
  }
};

struct TurnHead {
  ExchangeId exchange = {};
  std::uint16_t status = 0;
  net::Headers headers = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, status, headers);
  }
};

struct TurnData {
  ExchangeId exchange = {};
  std::string data = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, data);
  }
};

struct TurnEnd {
  ExchangeId exchange = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange);
  }
};

struct TurnAborted {
  ExchangeId exchange = {};
  std::string reason = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, reason);
  }
};

struct TurnRejected {
  ExchangeId exchange = {};
  HttpError error = {};
  /// The sender of this message does not serve the partition, and the turn has not run.
  bool not_owner = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, error, not_owner);
  }
};

struct TurnCancelled {
  ExchangeId exchange = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange);
  }
};

/// @brief Requests a turn that another partition stores, with its predecessors.
struct ChainQuery {
  ExchangeId exchange = {};
  ledger::TurnId turn = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, turn);
  }
};

struct ChainReply {
  ExchangeId exchange = {};
  /// Oldest first; empty if the sender does not have the complete chain, or has not sent it yet.
  std::vector<ledger::Turn> turns = {};
  /// Partitions that do not contain the turn.
  std::vector<ledger::PartitionId> searched = {};
  /// If set, the sender has a chain of about this size, which is to be fetched.
  std::uint64_t chain_bytes = 0;
  /// Why a chain that was to be fetched is not sent.
  std::string fault = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, turns, searched, chain_bytes, fault);
  }
};

/// @brief Requests a chain that the receiver has announced.
struct ChainFetch {
  ExchangeId exchange = {};
  ledger::TurnId turn = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, turn);
  }
};

/// @brief Asks another daemon to record a turn or its tokens: the next owner, if the partition
/// moved while the turn ran, or any daemon, while the partition is unavailable.
struct CommitRequest {
  ExchangeId exchange = {};
  ProgramId program = {};
  /// Tokens for the next owner to reserve, and the program's budget that limits them.
  TokenCount reserved_tokens = {};
  TokenCount budget = {};
  /// Tokens that were used without a record, to be counted as spent.
  TokenCount used_tokens = {};
  /// Oldest first.
  std::vector<ledger::Turn> turns = {};
  /// The turns are a complete chain that any partition may record; no tokens are counted.
  bool any_partition = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, program, reserved_tokens, budget, used_tokens, turns, any_partition);
  }
};

struct CommitReply {
  ExchangeId exchange = {};
  bool durable = false;
  /// The tokens exceed the budget, so another owner would refuse them as well.
  bool budget_exceeded = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, durable, budget_exceeded);
  }
};

/// @brief Asks another daemon whether the sender's configuration is the newest one.
struct ConfigurationQuery {
  ExchangeId exchange = {};
  /// 0 if the sender has no configuration.
  ConfigurationVersion version = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, version);
  }
};

struct ConfigurationReply {
  ExchangeId exchange = {};
  ConfigurationVersion version = {};
  /// How long before the reply the version was known to be the newest one.
  std::int64_t age_us = 0;
  /// Empty if the asking daemon has this version.
  std::string document = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, version, age_us, document);
  }
};

/// @brief Sent when a connection opens, so that a daemon that has just started recognises outdated
/// entries of the endpoint registry.
struct PeerSeenEndpoints {
  std::vector<SeenEndpoint> endpoints = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoints);
  }
};

using PeerPermitRequest = organisations::PermitRequest;
using PeerPermitGrant = organisations::PermitGrant;

using PeerMessage = std::variant<PeerHello,
                                 PeerStatus,
                                 TurnRequest,
                                 TurnHead,
                                 TurnData,
                                 TurnEnd,
                                 TurnAborted,
                                 TurnRejected,
                                 TurnCancelled,
                                 ChainQuery,
                                 ChainReply,
                                 CommitRequest,
                                 CommitReply,
                                 PeerLoad,
                                 PeerDemand,
                                 PeerRateLimits,
                                 PeerCrashReports,
                                 ConfigurationQuery,
                                 ConfigurationReply,
                                 PeerPermitRequest,
                                 PeerPermitGrant,
                                 ChainFetch,
                                 PeerSeenEndpoints>;

std::string EncodePeerMessage(const PeerMessage& message);
/// @brief Throws wire::DecodeError if the message is malformed.
PeerMessage DecodePeerMessage(std::string_view bytes);
/// @brief The messages of one turn, in each direction, arrive in order. Other messages are ordered
/// only if they have the same type and exchange.
net::MessageStreamId StreamOf(const PeerMessage& message);
/// @brief Upper bound for the size of encoded turns.
std::size_t EncodedBytes(const std::vector<ledger::Turn>& turns);
std::size_t EncodedBytes(const std::vector<const ledger::Turn*>& turns);
/// @brief True if the bytes, which need not be a valid message, have the type of one that is part
/// of the response to a turn.
bool IsTurnResponse(std::string_view bytes);

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_PEER_MESSAGES_H_
