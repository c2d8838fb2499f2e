#ifndef ACACIASPRING_SRC_GATEWAY_TEST_DAEMON_H_
#define ACACIASPRING_SRC_GATEWAY_TEST_DAEMON_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/gateway/test_headers.h"
#include "src/gateway/turn_router.h"
#include "src/ledger/test_store.h"
#include "src/net/test_support.h"

namespace acaciaspring::gateway {

inline constexpr std::uint32_t kPartitionCount = 4;
inline constexpr std::uint64_t kTurnTokens = 100;

/// @brief Stores the response that a caller receives.
class RecordingSink : public ResponseSink {
 public:
  void Head(int status, const net::Headers&) override { status_ = status; }
  void Data(std::string_view data) override { data_.append(data); }
  void End() override { ended_ = true; }
  void Abort(const std::string& reason) override { aborted_ = reason; }
  void SendError(const HttpError& error) override { error_ = error; }

  bool finished() const { return ended_ || !aborted_.empty() || error_.has_value(); }
  bool ended() const { return ended_; }
  int status() const { return error_ ? error_->status : status_; }
  const std::string& data() const { return data_; }
  const std::string& aborted() const { return aborted_; }

 private:
  int status_ = 0;
  std::string data_;
  bool ended_ = false;
  std::string aborted_;
  std::optional<HttpError> error_;
};

/// @brief An engine that answers each turn with one event, or holds or aborts its responses.
struct FakeEngine {
  explicit FakeEngine(net::Loop& loop)
      : server(loop,
               {.listen = net::kAnyLoopbackPort},
               [this](const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
                 request_bodies.push_back(request.body);
                 if (abort_responses) {
                   responder->Abort();
                 } else if (hold_responses) {
                   held_response = responder;
                 } else {
                   Respond(responder);
                 }
               }) {}

  void Respond(const net::HttpResponderPtr& responder) const {
    const std::string event = "data: o" + std::to_string(request_bodies.size()) + "\n\n";
    responder->Respond(200, {{"content-type", "text/event-stream"}}, event);
  }

  std::vector<std::string> request_bodies;
  bool abort_responses = false;
  bool hold_responses = false;
  net::HttpResponderPtr held_response;
  net::HttpServer server;
};

/// @brief A daemon without peers. Several daemons may use one store, one after another.
struct TestDaemon {
  TestDaemon(net::Loop& event_loop, ledger::TestStore& test_store, const FakeEngine& engine)
      : loop(event_loop),
        store(test_store),
        context(event_loop,
                {.self = {.id = DaemonId("self")},
                 .partition_count = kPartitionCount,
                 .headers = MakeTestHeaderNames()}),
        ownership(context,
                  test_store,
                  [this] { loop.Post([this] { router.RetryWaitingTurns(); }); }),
        router(context, ownership, [] { return nullptr; }) {
    context.endpoints.SetEndpoints({{.id = EndpointId("e"),
                                     .service = ServiceId("engines"),
                                     .address = engine.server.address(),
                                     .slots = 10}});
  }

  void Assign(std::uint64_t epoch) {
    std::vector<AssignedPartition> assigned;
    for (std::uint32_t id = 0; id < kPartitionCount; ++id) {
      assigned.push_back({ledger::PartitionId(id), ledger::OwnerEpoch(epoch)});
    }
    ownership.SetAssignment(assigned, ledger::OwnerEpoch(epoch), [] {});
    store.Run(std::chrono::seconds(1));
  }

  net::Loop& loop;
  ledger::TestStore& store;
  Context context;
  Ownership ownership;
  TurnRouter router;
};

/// @brief Runs the event loop and the store until the condition holds.
inline void RunUntil(net::Loop& loop,
                     ledger::TestStore& store,
                     const std::function<bool()>& condition) {
  net::RunUntil(loop, [&] {
    store.Run(std::chrono::milliseconds(5));
    return condition();
  });
}

/// @brief A retained turn with one event; its input contains its id.
inline TurnRequest MakeTurnRequest(const ProgramId& program,
                                   const std::string& id,
                                   const std::string& previous,
                                   std::uint64_t budget) {
  return {.id = RequestId(id),
          .service = ServiceId("engines"),
          .retained = true,
          .retention_us = Duration(std::chrono::seconds(60)).count(),
          .tokens_per_event = TokenCount(kTurnTokens),
          .remaining_us = Duration(std::chrono::seconds(30)).count(),
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
