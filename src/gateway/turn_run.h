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

/// @brief A partition moves within about this time.
inline constexpr Duration kOwnerRetryAfter = std::chrono::milliseconds(300);

/// @brief What a search for a turn in all partitions found.
struct ChainFound {
  std::vector<ledger::Turn> turns;
};
struct ChainNotFound {};
/// @brief A partition could not be searched.
struct ChainSearchIncomplete {};
using ChainSearchResult = std::variant<ChainFound, ChainNotFound, ChainSearchIncomplete>;

/// @brief What a turn needs from the daemon that runs it.
struct TurnDependencies {
  std::function<void(const ledger::TurnId&, std::function<void(const ChainSearchResult&)>)>
      find_chain = {};
  std::function<EndpointId(const ProgramContext&)> preferred_endpoint = {};
  std::function<void(const ProgramContext&, const EndpointId&)> remember_endpoint = {};
  /// Records at the next owner of the partition, by the given time; false if it was not possible.
  std::function<void(CommitRequest, MonotonicTime, std::function<void(bool durable)>)>
      commit_at_next_owner = {};
  /// Records a whole chain in any partition while that of the program is away. The result cancels
  /// the request.
  std::function<std::function<void()>(CommitRequest, MonotonicTime, std::function<void(bool)>)>
      record_in_any_partition = {};
};

/// @brief One turn at the owner of its program: budget, chain, endpoint call and durable end.
class TurnRun : public std::enable_shared_from_this<TurnRun> {
 public:
  TurnRun(Context& context,
          std::shared_ptr<ledger::Partition> partition,
          TurnRequest request,
          TurnDependencies dependencies,
          ResponseSinkPtr sink,
          std::function<void()> on_ended);

  void Start();
  /// @brief The caller is gone.
  void Cancel();
  /// @brief Nothing is passed on until a record of the program's spending is durable.
  bool waits_for_record() const { return admitted_ && !reserved_; }

 private:
  void AddChainToBody(const std::vector<const ledger::Turn*>& chain);
  void SearchChain();
  void Admit();
  void StartCall();
  /// @brief Goes on at once or when a record is durable. The records before cover `counted` tokens
  /// of this turn.
  void ReserveTokens(const ledger::Admission& admission, TokenCount covered_before);
  /// @brief Covers the rest of the turn's tokens when the first step is used up.
  void ExtendClaim();
  void OnReservationAppended(bool durable, TokenCount covered_before);
  void OnReservationDone(bool durable);
  void OnRecorded(bool durable);
  void OnHead(int status, const net::Headers& headers);
  void OnData(std::string_view data);
  void OnCallDone(const Outcome& outcome);
  void Forward(std::string_view data);
  void ForwardDelayed(std::string data);
  void ForwardDelayedData();
  void Complete();
  void RecordTurn();
  void RecordInAnyPartition();
  void RecordAtNextOwner();
  void OnDeadline();
  /// @brief Tokens of the events so far; a piece of an event that breaks off counts as a whole one.
  TokenCount UsedTokens() const;
  void Settle();
  void CommitUnrecordedTokens();
  void FailWith(const ErrorResponse& error);
  void Finish(std::string_view outcome);

  Context& context_;
  std::shared_ptr<ledger::Partition> partition_;
  TurnRequest request_;
  TurnDependencies dependencies_;
  ResponseSinkPtr sink_;
  std::function<void()> on_ended_;
  MonotonicTime started_at_;
  MonotonicTime first_event_at_;
  /// The turn's record was handed to the ledger.
  MonotonicTime recording_since_;
  MonotonicTime deadline_;
  net::Timer deadline_timer_;
  std::shared_ptr<EndpointCall> call_;
  std::string chain_body_;
  /// Turns of another partition, to be recorded with this one.
  std::vector<ledger::Turn> imported_turns_;
  /// The turn that is being recorded.
  std::optional<ledger::Turn> turn_record_;
  net::Timer any_partition_timer_;
  std::function<void()> cancel_any_partition_;
  net::SseParser parser_;
  std::string output_;
  std::string data_awaiting_reservation_;
  std::optional<std::pair<int, net::Headers>> head_awaiting_reservation_;
  /// The newest piece of the stream while the turn's record may have to wait.
  std::string delayed_data_;
  net::Timer delayed_data_timer_;
  std::optional<Outcome> call_outcome_;
  std::uint64_t events_received_ = 0;
  std::uint64_t partial_event_ = 0;
  ledger::TurnClaim claim_;
  /// Tokens handed out; known when the turn is settled.
  TokenCount settled_tokens_;
  int status_ = 0;
  bool admitted_ = false;
  bool reserved_ = false;
  /// A record that was to cover the turn was lost with the partition.
  bool spend_record_lost_ = false;
  /// Tokens of the turn that the records before the lost one cover.
  TokenCount covered_before_loss_;
  bool response_started_ = false;
  bool ended_ = false;
};

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_TURN_RUN_H_
