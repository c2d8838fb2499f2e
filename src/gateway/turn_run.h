#ifndef ACACIASPRING_SRC_GATEWAY_TURN_RUN_H_
#define ACACIASPRING_SRC_GATEWAY_TURN_RUN_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/gateway/endpoint_call.h"
#include "src/gateway/peer_messages.h"
#include "src/gateway/response_sink.h"

namespace acaciaspring::gateway {

/// @brief Typical time in which a partition moves to another owner.
inline constexpr Duration kOwnerRetryAfter = std::chrono::milliseconds(300);

/// @brief The chain of the turn, oldest first.
struct ChainFound {
  std::vector<ledger::Turn> turns;
};
/// @brief No partition contains the turn.
struct ChainNotFound {};
/// @brief Some partitions could not be searched, so the turn may exist.
struct ChainSearchIncomplete {};
/// @brief Result of the search for a turn in all partitions.
using ChainSearchResult = std::variant<ChainFound, ChainNotFound, ChainSearchIncomplete>;

/// @brief Functions that a turn needs from the daemon that runs it.
struct TurnDependencies {
  /// Searches until the given time at most.
  std::function<void(const ledger::TurnId&, MonotonicTime, std::function<void(ChainSearchResult)>)>
      find_chain = {};
  std::function<EndpointId(const ProgramContext&)> preferred_endpoint = {};
  std::function<void(const ProgramContext&, const EndpointId&)> remember_endpoint = {};
  /// Sends a request to the next owner of the partition. The callback gets false if the request was
  /// not recorded by the given time.
  std::function<void(CommitRequest, MonotonicTime, std::function<void(bool durable)>)>
      commit_at_next_owner = {};
  /// Records a complete chain in any writable partition while that of the program is unavailable.
  /// Returns a function that cancels the request.
  std::function<std::function<void()>(CommitRequest, MonotonicTime, std::function<void(bool)>)>
      record_in_any_partition = {};
};

/// @brief Runs one turn at the owner of its program: budget, chain, endpoint call and durable
/// record.
class TurnRun : public std::enable_shared_from_this<TurnRun> {
 public:
  TurnRun(Context& context,
          std::shared_ptr<ledger::Partition> partition,
          TurnRequest request,
          TurnDependencies dependencies,
          ResponseSinkPtr sink,
          std::function<void()> on_ended);

  void Start();
  /// @brief Stops the turn; the caller has disconnected.
  void Cancel();
  /// @brief True while no data is forwarded because a record of the program's spending is not
  /// durable.
  bool waits_for_record() const { return admitted_ && !reserved_; }

 private:
  /// @brief The tokens of a turn that one record covers: those after the first `from`, up to `to`.
  struct CoveredTokens {
    TokenCount from;
    TokenCount to;
  };

  void UpdateHeldBytes();
  void AddChainToBody(const std::vector<const ledger::Turn*>& chain);
  void SearchChain();
  void Admit();
  void StartCall();
  /// @brief Lets the turn continue, either at once or when a record is durable. Earlier records
  /// cover `covered_before` tokens of this turn.
  void ReserveTokens(const ledger::Admission& admission, TokenCount covered_before);
  /// @brief Extends the claim to all tokens of the turn if the engine has sent more than it covers.
  void ExtendClaim();
  void OnReservationAppended(bool durable, TokenCount covered_before);
  void OnReservationDone(bool durable);
  void OnRecorded(bool durable);
  void OnHead(int status, const net::Headers& headers);
  void OnData(std::string_view data);
  void OnCallDone(const Outcome& outcome);
  void Forward(std::string_view data);
  void DelayData(std::string data);
  void FlushDelayedData();
  void Complete();
  void RecordTurn();
  void RecordInAnyPartition();
  void RecordAtNextOwner();
  void OnDeadline();
  void OnStreamOverflow();
  /// @brief Tokens of the events received so far; a partially received event counts as a whole one.
  TokenCount UsedTokens() const;
  void Settle();
  void CommitUnrecordedTokens();
  void FailWith(const HttpError& error);
  void Finish(std::string_view outcome);

  Context& context_;
  std::shared_ptr<ledger::Partition> partition_;
  TurnRequest request_;
  /// The body, the chain and what is kept of the response.
  HeldBytes held_;
  TurnDependencies dependencies_;
  ResponseSinkPtr sink_;
  std::function<void()> on_ended_;
  MonotonicTime started_at_;
  MonotonicTime first_event_at_;
  /// When the turn's record was passed to the partition.
  MonotonicTime recording_since_;
  MonotonicTime deadline_;
  net::Timer deadline_timer_;
  net::Timer overflow_timer_;
  std::shared_ptr<EndpointCall> call_;
  std::string chain_body_;
  /// Turns found in another partition, to be recorded with this one.
  std::vector<ledger::Turn> imported_turns_;
  /// This turn, while it is being recorded.
  std::optional<ledger::Turn> turn_record_;
  net::Timer any_partition_timer_;
  std::function<void()> cancel_any_partition_;
  net::SseParser parser_;
  std::string output_;
  std::string data_awaiting_reservation_;
  std::optional<std::pair<int, net::Headers>> head_awaiting_reservation_;
  /// The latest data of the stream, delayed while the turn's record may have to wait.
  std::string delayed_data_;
  net::Timer delayed_data_timer_;
  std::optional<Outcome> call_outcome_;
  std::uint64_t events_received_ = 0;
  net::SseBoundary stream_boundary_;
  ledger::TurnClaim claim_;
  /// Tokens used by the turn; set when it is settled.
  TokenCount settled_tokens_;
  int status_ = 0;
  /// The turn has been admitted and not settled.
  bool admitted_ = false;
  /// Data may be forwarded, because no record that it depends on is pending.
  bool reserved_ = false;
  /// Tokens of this turn that were forwarded without a record, which was then lost with the
  /// partition; the next owner has to count those that the turn has used.
  std::vector<CoveredTokens> unrecorded_;
  bool response_started_ = false;
  bool ended_ = false;
  /// The program has run turns before this one.
  bool program_started_ = false;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_TURN_RUN_H_
