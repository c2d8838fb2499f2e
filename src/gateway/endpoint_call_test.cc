#include "src/gateway/endpoint_call.h"

#include <boost/test/unit_test.hpp>

#include "src/gateway/test_headers.h"
#include "src/net/http_test_support.h"
#include "src/net/unread_upload_server.h"

namespace acaciaspring::gateway {

namespace {

constexpr std::size_t kMaxResponseBytes = std::size_t{1} << 20;
// Far beyond the time of a test: a call that ends has not been ended by its deadline.
constexpr Duration kDeadline = std::chrono::hours(1);
const ServiceId kService("service");

struct Fixture {
  Fixture()
      : context(loop,
                {.self = {.id = DaemonId("self")},
                 .headers = MakeTestHeaderNames(),
                 .max_response_bytes = kMaxResponseBytes}) {
    context.endpoints.SetEndpoints(
        {{.id = EndpointId("e"), .service = kService, .address = server.address(), .slots = 1}});
    context.endpoints.SetEngineMemory(kService, TokenCount(1));
  }

  void Start(RequestKind kind, Duration time_limit = kDeadline) {
    call = std::make_shared<EndpointCall>(
        context,
        CallPlan{.id = RequestId("a"),
                 .service = kService,
                 .kind = kind,
                 .method = "GET",
                 .target = "/",
                 .deadline = loop.Now() + time_limit},
        CallCallbacks{.on_head = [this](int, const net::Headers&) { head = true; },
                      .on_data = [this](std::string_view data) { bytes += data.size(); },
                      .on_done = [this](const Outcome& done) { outcome = done; }});
    call->Start();
    net::RunUntil(loop, [this] {
      return !server.connections().empty() && !server.connections()[0]->received().empty();
    });
  }

  /// @brief Sends the start of a response and then `rest` again and again until the connection is
  /// closed.
  void SendWithoutEnd(const std::string& start, const std::string& rest = std::string(16384, 'x')) {
    net::RawConnection& connection = *server.connections()[0];
    connection.Send(start);
    sender = loop.Every(std::chrono::milliseconds(1), [&connection, rest] {
      if (!connection.ended()) {
        connection.Send(rest);
      }
    });
    net::RunUntil(loop, [&] { return outcome.has_value() && connection.ended(); });
    sender.Cancel();
  }

  net::Loop loop;
  net::RawServer server{loop};
  Context context;
  net::Timer sender;
  std::shared_ptr<EndpointCall> call;
  std::optional<Outcome> outcome;
  std::size_t bytes = 0;
  bool head = false;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(endpoint_call, Fixture)

// Guards against a rejected request that is reported as a timeout at its deadline, because the body
// of the rejection does not end.
BOOST_AUTO_TEST_CASE(rejection_without_end_is_not_run_at_once) {
  Start(RequestKind::kAtMostOnce);
  SendWithoutEnd("HTTP/1.1 503 Full\r\nx-not-executed: 1\r\nContent-Length: 999999999\r\n\r\n");
  BOOST_TEST(std::holds_alternative<NotRun>(*outcome));
  BOOST_TEST(!head);
}

// Guards against the same when the endpoint falls silent within the rejection.
BOOST_AUTO_TEST_CASE(rejection_that_stalls_is_not_run) {
  Start(RequestKind::kAtMostOnce);
  server.connections()[0]->Send(
      "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\nContent-Length: 10\r\n\r\n");
  net::RunUntil(loop, [this] { return outcome.has_value(); });
  BOOST_TEST(std::holds_alternative<NotRun>(*outcome));
}

// Guards against a rejection that is cut off and then counts as a possible execution.
BOOST_AUTO_TEST_CASE(rejection_that_is_cut_off_is_not_run) {
  Start(RequestKind::kAtMostOnce);
  server.connections()[0]->Send(
      "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\nContent-Length: 10\r\n\r\nhalf");
  net::RunUntil(loop, [this] { return !context.endpoints.OwnCounts().empty(); });
  server.connections()[0]->Close(/*reset=*/false);
  net::RunUntil(loop, [this] { return outcome.has_value(); });
  BOOST_TEST(std::holds_alternative<NotRun>(*outcome));
}

// Guards against a response or a stream without a length that the endpoint resets midway and that
// is delivered as complete.
BOOST_AUTO_TEST_CASE(reset_response_without_a_length_is_not_complete) {
  for (const RequestKind kind : {RequestKind::kAtMostOnce, RequestKind::kStream}) {
    for (const bool reset : {true, false}) {
      server.connections().clear();
      outcome.reset();
      Start(kind);
      server.connections()[0]->Send("HTTP/1.1 200 OK\r\nx-id: a\r\n\r\ndata: part\n\n");
      server.connections()[0]->Close(reset);
      net::RunUntil(loop, [this] { return outcome.has_value(); });
      BOOST_TEST(std::holds_alternative<Completed>(*outcome) == !reset);
    }
  }
}

// Guards against the same when the endpoint answers a long request before it is sent.
BOOST_AUTO_TEST_CASE(reset_within_an_upload_is_not_complete) {
  constexpr std::size_t kMoreThanSocketBuffers = std::size_t{64} << 20;
  for (const RequestKind kind :
       {RequestKind::kAtMostOnce, RequestKind::kStream, RequestKind::kIdempotent}) {
    for (const bool reset : {true, false}) {
      net::UnreadUploadServer endpoint;
      context.endpoints.SetEndpoints({{.id = EndpointId("e"),
                                       .service = kService,
                                       .address = endpoint.address(),
                                       .slots = 1}});
      outcome.reset();
      head = false;
      call = std::make_shared<EndpointCall>(
          context,
          CallPlan{.id = RequestId("a"),
                   .service = kService,
                   .kind = kind,
                   .method = "POST",
                   .target = "/",
                   .body = std::string(kMoreThanSocketBuffers, 'x'),
                   .deadline = loop.Now() + kDeadline},
          CallCallbacks{.on_head = [this](int, const net::Headers&) { head = true; },
                        .on_data = [](std::string_view) {},
                        .on_done = [this](const Outcome& done) { outcome = done; }});
      call->Start();
      endpoint.Accept(loop);
      endpoint.Send(loop, "HTTP/1.1 200 OK\r\nx-id: a\r\n\r\ndata: part\n\n");
      endpoint.Close(reset);
      net::RunUntil(loop, [this] { return outcome.has_value(); });
      BOOST_TEST(std::holds_alternative<Unknown>(*outcome));
      BOOST_TEST((!head || kind == RequestKind::kStream));
    }
  }
}

// Guards against a stream that ends in order inside an event and is delivered as complete.
BOOST_AUTO_TEST_CASE(stream_that_ends_inside_an_event_is_not_complete) {
  const std::string start = "HTTP/1.1 200 OK\r\nx-id: a\r\n";
  // What comes before and after the body in each framing.
  const std::vector<std::pair<std::string, std::string>> framings = {
      {"\r\n", ""},
      {"Content-Length: 14\r\n\r\n", ""},
      {"Transfer-Encoding: chunked\r\n\r\ne\r\n", "\r\n0\r\n\r\n"}};
  for (const auto& [before, after] : framings) {
    for (const bool whole : {true, false}) {
      server.connections().clear();
      outcome.reset();
      Start(RequestKind::kStream);
      const std::string body = whole ? "id: 1\ndata:a\n\n" : "data:a\n\ndata:b";
      server.connections()[0]->Send(start + before + body + after);
      server.connections()[0]->Close();
      net::RunUntil(loop, [this] { return outcome.has_value(); });
      BOOST_TEST(std::holds_alternative<Completed>(*outcome) == whole, before << body);
    }
  }
}

// Guards against unbounded memory and against calls that last until their deadline, when an
// endpoint sends bytes without end in a head or a body.
BOOST_AUTO_TEST_CASE(responses_without_end_are_broken_off) {
  const std::vector<std::string> starts = {
      "HTTP/1.1 200 OK\r\nX: ",
      "nonsense",
      "HTTP/1.1 200 OK\r\nx-id: a\r\nContent-Length: 999999999\r\n\r\n",
      "HTTP/1.1 500 Error\r\nx-id: a\r\nContent-Length: 999999999\r\n\r\n",
      "HTTP/1.1 200 OK\r\nx-id: a\r\n\r\n",
      "HTTP/1.1 200 OK\r\nx-id: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
      "HTTP/1.1 200 OK\r\nx-id: a\r\nTransfer-Encoding: chunked\r\n\r\n4;",
      "HTTP/1.1 200 OK\r\nx-id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
  };
  for (const std::string& start : starts) {
    for (const RequestKind kind : {RequestKind::kAtMostOnce, RequestKind::kStream}) {
      server.connections().clear();
      outcome.reset();
      bytes = 0;
      Start(kind);
      SendWithoutEnd(start);
      BOOST_TEST(std::holds_alternative<Unknown>(*outcome), start);
      BOOST_TEST(bytes <= kMaxResponseBytes, start);
    }
  }
}

// Guards against a slow or legal flood of bytes that holds a call beyond its deadline, or whose
// bytes reach the caller.
BOOST_AUTO_TEST_CASE(responses_that_trickle_end_at_the_deadline) {
  const std::vector<std::pair<std::string, std::string>> floods = {
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 103 Early Hints\r\nx-id: a\r\nx: y\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\n", "x: y\r\n"},
      {"HTTP/1.1 200 OK\r\nx-id: a\r\nContent-Length: 999999999\r\n\r\n", "x"},
      {"HTTP/1.1 200 OK\r\nx-id: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
      {"HTTP/1.1 200 OK\r\nx-id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "x: y\r\n"},
      {"HTTP/1.1 200 OK\r\nx-id: a\r\n\r\n", ": comment\n\n"},
  };
  for (const auto& [start, rest] : floods) {
    for (const RequestKind kind : {RequestKind::kAtMostOnce, RequestKind::kStream}) {
      server.connections().clear();
      outcome.reset();
      bytes = 0;
      Start(kind, std::chrono::milliseconds(60));
      SendWithoutEnd(start, rest);
      BOOST_TEST(std::holds_alternative<Unknown>(*outcome), start);
      BOOST_TEST(bytes <= kMaxResponseBytes, start);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
