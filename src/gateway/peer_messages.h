#ifndef ACACIASPRING_SRC_GATEWAY_PEER_MESSAGES_H_
#define ACACIASPRING_SRC_GATEWAY_PEER_MESSAGES_H_

#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciaspring/wire.h"
#include "src/gateway/endpoint_table.h"
#include "src/gateway/response_sink.h"

namespace acaciaspring::gateway {

/// @brief First message of a connection; tells who connects.
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

/// @brief Sent several times a second; also the heartbeat of a connection.
struct PeerStatus {
  bool ready = false;
  InFlightCounts in_flight = {};
  /// Partitions that the sender serves.
  std::vector<OwnedPartition> owned = {};
  /// The sender serves a partition that takes records now.
  bool has_writable_partition = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(ready, in_flight, owned, has_writable_partition);
  }
};

/// @brief A turn for the owner of its program. The sender has chosen route and service, so that
/// different versions of the configuration do not matter.
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
  std::string method = {};
  std::string target = {};
  net::Headers headers = {};
  std::string body = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, id, service, kind, priority, max_attempts, retained, retention_us,
            tokens_per_event, remaining_us, program, method, target, headers, body);
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
  ErrorResponse error = {};
  /// The receiver does not serve the partition; the turn has not run.
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

/// @brief Asks for a turn of another partition and those before it.
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
  /// Oldest first; empty if the sender does not know the turn.
  std::vector<ledger::Turn> turns = {};
  /// Partitions that were searched.
  std::vector<ledger::PartitionId> searched = {};
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, turns, searched);
  }
};

/// @brief What a daemon that lost a partition while its turn ran asks the next owner to record, or
/// what an owner whose partition is away asks any other daemon to record.
struct CommitRequest {
  ExchangeId exchange = {};
  ProgramId program = {};
  /// Tokens that the new owner has not counted yet, and the program's budget for them.
  TokenCount reserved_tokens = {};
  TokenCount budget = {};
  /// Tokens that were handed out without a record.
  TokenCount used_tokens = {};
  /// Oldest first.
  std::vector<ledger::Turn> turns = {};
  /// The turns are a whole chain, to be recorded in any partition; nothing is counted.
  bool any_partition = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, program, reserved_tokens, budget, used_tokens, turns, any_partition);
  }
};

struct CommitReply {
  ExchangeId exchange = {};
  bool durable = false;
  /// The budget does not hold the tokens; no other owner will say otherwise.
  bool budget_exceeded = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, durable, budget_exceeded);
  }
};

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
                                 CommitReply>;

std::string EncodePeerMessage(const PeerMessage& message);
/// @brief Throws wire::DecodeError.
PeerMessage DecodePeerMessage(std::string_view bytes);

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_PEER_MESSAGES_H_
