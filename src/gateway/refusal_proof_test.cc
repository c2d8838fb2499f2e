#include <boost/test/unit_test.hpp>
#include <vector>

#include "src/gateway/endpoint_call.h"
#include "src/gateway/test_daemon.h"
#include "src/gateway/test_headers.h"
#include "src/net/http_test_support.h"

namespace acaciaspring::gateway {

namespace {

const ServiceId kService("service");
const EndpointId kFaulty("faulty");

std::string MakeResponse(const std::string& status_line,
                         const std::string& id,
                         const std::string& rest = "content-length: 0\r\n\r\n") {
  return "HTTP/1.1 " + status_line + "\r\n" + (id.empty() ? "" : "x-id: " + id + "\r\n") + rest;
}

/// @brief The status line of a refusal, and what follows the id.
struct Refusal {
  std::string status_line;
  std::string rest;
};

const std::vector<Refusal> kRefusals = {
    {"503 Full", "x-not-executed: 1\r\ncontent-length: 0\r\n\r\n"},
    {"503 Full", "x-not-executed: 1\r\ncontent-length: 4\r\n\r\nfull"},
    {"503 Full", "x-not-executed: 1\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"},
    {"429 Slow", "x-not-executed: 1\r\nx-limit: 1\r\ncontent-length: 0\r\n\r\n"},
    {"429 Slow", "x-limit: 1\r\ncontent-length: 0\r\n\r\n"},
    {"421 Other", "content-length: 0\r\n\r\n"},
    {"400 No id", "x-not-executed: 1\r\ncontent-length: 0\r\n\r\n"},
};

/// @brief A faulty endpoint, which calls prefer, and a sound one.
struct Fixture {
  Fixture() { Reset(); }

  /// @brief Forgets the failures and limits of endpoints and closes their connections.
  void Reset() {
    call.reset();
    outcome.reset();
    faulty.connections().clear();
    sound.connections().clear();
    runs_at_sound = 0;
    context.emplace(
        loop, GatewayOptions{.self = {.id = DaemonId("self")}, .headers = MakeTestHeaderNames()});
    context->endpoints.SetEndpoints(
        {{.id = kFaulty, .service = kService, .address = faulty.address(), .slots = 8},
         {.id = EndpointId("sound"), .service = kService, .address = sound.address(), .slots = 8}});
  }

  void Start(const std::string& id, RequestKind kind, const std::string& method) {
    outcome.reset();
    status = 0;
    call = std::make_shared<EndpointCall>(
        *context,
        CallPlan{.id = RequestId(id),
                 .service = kService,
                 .kind = kind,
                 .max_attempts = 3,
                 .method = method,
                 .target = "/",
                 .deadline = loop.Now() + std::chrono::hours(1),
                 .preferred = kFaulty},
        CallCallbacks{.on_head = [this](int head, const net::Headers&) { status = head; },
                      .on_data = [](std::string_view) {},
                      .on_done = [this](const Outcome& done) { outcome = done; }});
    call->Start();
  }

  /// @brief Answers requests at the sound endpoint.
  void ServeSound(const std::string& id) {
    for (const auto& connection : sound.connections()) {
      if (!connection->received().empty()) {
        connection->ClearReceived();
        ++runs_at_sound;
        connection->Send(MakeResponse("200 OK", id));
      }
    }
  }

  /// @brief Waits until the faulty endpoint has received a request.
  net::RawConnection& WaitForRequest() {
    net::RawConnection* found = nullptr;
    net::RunUntil(loop, [&] {
      for (const auto& connection : faulty.connections()) {
        found = connection->received().empty() ? found : connection.get();
      }
      return found != nullptr;
    });
    found->ClearReceived();
    return *found;
  }

  void WaitForOutcome(const std::string& id) {
    net::RunUntil(loop, [&] {
      ServeSound(id);
      return outcome.has_value();
    });
  }

  net::Loop loop;
  net::RawServer faulty{loop};
  net::RawServer sound{loop};
  std::optional<Context> context;
  std::shared_ptr<EndpointCall> call;
  std::optional<Outcome> outcome;
  int status = 0;
  int runs_at_sound = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(refusal_proof, Fixture)

// Guards against callers that are told "not run" for a request that an endpoint runs, and against
// its run at a second endpoint, after the endpoint has written an earlier refusal once more without
// an id.
BOOST_AUTO_TEST_CASE(repeated_refusal_without_an_id_is_no_promise) {
  int rows = 0;
  int failed = 0;
  int number = 0;
  for (const Refusal& refusal : kRefusals) {
    for (const RequestKind kind : {RequestKind::kAtMostOnce, RequestKind::kIdempotent,
                                   RequestKind::kStream, RequestKind::kResumableStream}) {
      for (const std::string method : {"POST", "HEAD", "DELETE"}) {
        for (const bool refused_before : {true, false}) {
          for (const bool in_two_reads : {true, false}) {
            Reset();
            const std::string first = "a" + std::to_string(++number);
            const std::string second = "b" + std::to_string(number);
            Start(first, RequestKind::kAtMostOnce, "POST");
            net::RawConnection& connection = WaitForRequest();
            connection.Send(refused_before
                                ? MakeResponse("503 Full", first,
                                               "x-not-executed: 1\r\ncontent-length: 0\r\n\r\n")
                                : MakeResponse("200 OK", first));
            WaitForOutcome(first);
            runs_at_sound = 0;
            Start(second, kind, method);
            BOOST_TEST(&WaitForRequest() == &connection);
            const std::string copy = MakeResponse(refusal.status_line, "", refusal.rest);
            if (in_two_reads) {
              connection.Send(copy.substr(0, copy.find("\r\n") + 1));
              int iterations = 0;
              net::RunUntil(loop, [&] { return ++iterations > 4; });
              connection.Send(copy.substr(copy.find("\r\n") + 1));
            } else {
              connection.Send(copy + copy);
            }
            WaitForOutcome(second);
            ++rows;
            const bool may_repeat = kind == RequestKind::kIdempotent;
            const bool sound_row =
                (may_repeat ? std::holds_alternative<Completed>(*outcome) && status == 200
                            : std::holds_alternative<Unknown>(*outcome) && status == 0) &&
                runs_at_sound == (may_repeat ? 1 : 0) && context->endpoints.rate_limits().empty();
            failed += sound_row ? 0 : 1;
            BOOST_TEST(sound_row, refusal.status_line << " kind " << static_cast<int>(kind) << " "
                                                      << method << " status " << status << " sound "
                                                      << runs_at_sound);
          }
        }
      }
    }
  }
  BOOST_TEST_MESSAGE(failed << " of " << rows << " rows failed");
}

// Guards against a genuine refusal that ends a request which another endpoint could run.
BOOST_AUTO_TEST_CASE(refusal_with_proof_moves_the_request_to_another_endpoint) {
  int number = 0;
  for (const bool kept : {true, false}) {
    for (const RequestKind kind :
         {RequestKind::kAtMostOnce, RequestKind::kIdempotent, RequestKind::kStream}) {
      Reset();
      const std::string first = "a" + std::to_string(++number);
      const std::string second = "b" + std::to_string(number);
      if (kept) {
        Start(first, RequestKind::kAtMostOnce, "POST");
        WaitForRequest().Send(MakeResponse("200 OK", first));
        WaitForOutcome(first);
      }
      Start(second, kind, "POST");
      // On a new connection the endpoint has no earlier response to repeat.
      WaitForRequest().Send(MakeResponse("503 Full", kept ? second : "",
                                         "x-not-executed: 1\r\ncontent-length: 0\r\n\r\n"));
      WaitForOutcome(second);
      BOOST_TEST(std::holds_alternative<Completed>(*outcome));
      BOOST_TEST(runs_at_sound == 1);
    }
  }
}

// Guards against a turn that is refused as not run, or sent to another engine, for the same reason.
BOOST_AUTO_TEST_CASE(repeated_refusal_does_not_refuse_a_turn) {
  ledger::TestStore store;
  FakeEngine engine{loop};
  TestDaemon daemon{loop, store, engine};
  daemon.Assign(1);
  const auto register_engines = [&](EndpointState second) {
    daemon.context.endpoints.SetEndpoints(
        {{.id = kFaulty, .service = ServiceId("engines"), .address = faulty.address(), .slots = 8},
         {.id = EndpointId("sound"),
          .service = ServiceId("engines"),
          .address = engine.server.address(),
          .slots = 8,
          .state = second}});
  };
  register_engines(EndpointState::kDraining);
  const ProgramId program("p");
  const auto turn = [&](const std::string& id, const std::string& previous) {
    auto sink = std::make_shared<RecordingSink>();
    daemon.router.Submit(MakeTurnRequest(program, id, previous, 100 * kTurnTokens), sink);
    return sink;
  };
  const auto wait_for_request = [&]() -> net::RawConnection& {
    RunUntil(loop, store, [&] {
      return !faulty.connections().empty() && !faulty.connections()[0]->received().empty();
    });
    faulty.connections()[0]->ClearReceived();
    return *faulty.connections()[0];
  };
  const auto first = turn("t1", "");
  wait_for_request().Send(MakeResponse("200 OK", "t1", "content-length: 9\r\n\r\ndata: a\n\n"));
  RunUntil(loop, store, [&] { return first->finished(); });
  BOOST_TEST(first->ended());
  const auto second = turn("t2", "t1");
  net::RawConnection& connection = wait_for_request();
  // From here on, a request that is sent again finds the second engine.
  register_engines(EndpointState::kReady);
  connection.Send(MakeResponse("503 Full", "", "x-not-executed: 1\r\ncontent-length: 0\r\n\r\n"));
  RunUntil(loop, store, [&] { return second->finished(); });
  BOOST_TEST(second->status() == 502);
  BOOST_TEST(engine.request_bodies.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
