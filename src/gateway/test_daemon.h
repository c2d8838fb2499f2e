#ifndef ACACIASPRING_SRC_GATEWAY_TEST_DAEMON_H_
#define ACACIASPRING_SRC_GATEWAY_TEST_DAEMON_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/gateway/turn_router.h"
#include "src/ledger/test_store.h"
#include "src/net/test_support.h"

namespace acaciaspring::gateway {

inline constexpr std::uint32_t kPartitions = 4;
inline constexpr std::uint64_t kTurnTokens = 100;

/// @brief Keeps what a caller gets.
class RecordingSink : public AnswerSink {
 public:
  void Head(int status, const net::Headers&) override { status_ = status; }
  void Data(std::string_view data) override { data_.append(data); }
  void End() override { ended_ = true; }
  void Abort(const std::string& reason) override { aborted_ = reason; }
  void Refuse(const Refusal& refusal) override { refusal_ = refusal; }

  bool over() const { return ended_ || !aborted_.empty() || refusal_.has_value(); }
  bool ended() const { return ended_; }
  int status() const { return refusal_ ? refusal_->status : status_; }
  const std::string& data() const { return data_; }
  const std::string& aborted() const { return aborted_; }

 private:
  int status_ = 0;
  std::string data_;
  bool ended_ = false;
  std::string aborted_;
  std::optional<Refusal> refusal_;
};

/// @brief An engine that answers each turn with one event, holds its answers or breaks connections.
struct Engine {
  explicit Engine(net::Loop& loop)
      : server(loop,
               {.listen = net::kAnyLoopbackPort},
               [this](const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
                 bodies.push_back(request.body);
                 if (breaks) {
                   responder->Abort();
                 } else if (holds) {
                   held = responder;
                 } else {
                   Answer(responder);
                 }
               }) {}

  void Answer(const net::HttpResponderPtr& responder) const {
    const std::string event = "data: o" + std::to_string(bodies.size()) + "\n\n";
    responder->Respond(200, {{"content-type", "text/event-stream"}}, event);
  }

  std::vector<std::string> bodies;
  bool breaks = false;
  bool holds = false;
  net::HttpResponderPtr held;
  net::HttpServer server;
};

/// @brief One daemon without peers, on a store that several may use after each other.
struct Daemon {
  Daemon(net::Loop& event_loop, ledger::TestStore& test_store, const Engine& engine)
      : loop(event_loop),
        store(test_store),
        context(event_loop,
                {.self = {.id = DaemonId("self")},
                 .partition_count = kPartitions,
                 .headers = {.request_id = "x-id",
                             .deadline_ms = "x-deadline",
                             .expected_endpoint = "x-endpoint",
                             .priority = "x-priority",
                             .not_executed = "x-not-executed"}}),
        ownership(context, test_store, [this] { loop.Post([this] { router.Retry(); }); }),
        router(context, ownership, [] { return nullptr; }) {
    context.endpoints.SetEndpoints({{.id = EndpointId("e"),
                                     .service = ServiceId("engines"),
                                     .address = engine.server.address(),
                                     .slots = 10}});
  }

  void Assign(std::uint64_t epoch) {
    std::vector<AssignedPartition> assigned;
    for (std::uint32_t id = 0; id < kPartitions; ++id) {
      assigned.push_back({ledger::PartitionId(id), ledger::OwnerEpoch(epoch)});
    }
    ownership.SetAssignment(assigned, ledger::OwnerEpoch(epoch));
    store.Run(std::chrono::seconds(1));
  }

  net::Loop& loop;
  ledger::TestStore& store;
  Context context;
  Ownership ownership;
  TurnRouter router;
};

/// @brief Lets loop and store go on until the condition holds.
inline void RunUntil(net::Loop& loop,
                     ledger::TestStore& store,
                     const std::function<bool()>& condition) {
  net::RunUntil(loop, [&] {
    store.Run(std::chrono::milliseconds(5));
    return condition();
  });
}

/// @brief A retained turn with one event; its input names it.
inline TurnRequest MakeTurnRequest(const ProgramId& program,
                                   const std::string& id,
                                   const std::string& previous,
                                   std::uint64_t budget) {
  return {.id = RequestId(id),
          .service = ServiceId("engines"),
          .retained = true,
          .retention_us = Duration(std::chrono::seconds(60)).count(),
          .tokens_per_event = TokenCount(kTurnTokens),
          .left_us = Duration(std::chrono::seconds(30)).count(),
          .program = {.program = program,
                      .session = SessionId("s"),
                      .budget = TokenCount(budget),
                      .max_output = TokenCount(kTurnTokens),
                      .previous_turn = ledger::TurnId(previous)},
          .method = "POST",
          .target = "/",
          .body = "i" + id + "\n"};
}

}  // namespace acaciaspring::gateway

#endif  // ACACIASPRING_SRC_GATEWAY_TEST_DAEMON_H_
