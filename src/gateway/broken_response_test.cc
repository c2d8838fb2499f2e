#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "src/gateway/endpoint_call.h"
#include "src/gateway/test_headers.h"
#include "src/net/scripted_server.h"

namespace acaciaspring::gateway {

namespace {

using net::Ending;
using net::Framing;

constexpr Duration kDeadline = std::chrono::hours(1);
// A silent endpoint is waited for until the deadline, or, if the request may run again, until a
// third of the time is over.
constexpr Duration kSilenceDeadline = std::chrono::seconds(3);
constexpr Duration kSilenceDeadlineWithRetry = 3 * kSilenceDeadline;
const std::string kEvents = "data: a\n\ndata: b\n\n";
const std::string kNextEvents = "data: c\n\n";
const ServiceId kService("service");

/// @brief Where the first response ends.
enum class Cut : std::uint8_t { kInHead, kAfterHead, kInEvent, kBetweenEvents, kNowhere };
constexpr std::array kCuts = {Cut::kInHead, Cut::kAfterHead, Cut::kInEvent, Cut::kBetweenEvents,
                              Cut::kNowhere};
constexpr std::array kKinds = {RequestKind::kIdempotent, RequestKind::kAtMostOnce,
                               RequestKind::kStream, RequestKind::kResumableStream};

/// @brief What the next endpoint answers.
struct Next {
  std::string name;
  std::string bytes;
  /// Status and body that a caller may get from it; 0 for none.
  int status = 0;
  std::string body = {};
};

const std::vector<Next>& NextResponses() {
  const auto make = [](int status, const std::string& body, const std::string& lines = "") {
    return net::MakeHead(Framing::kLength, std::to_string(status) + " Text", "x-id: a\r\n" + lines,
                         body.size()) +
           body;
  };
  static const std::vector<Next> responses = {
      {.name = "200", .bytes = make(200, kNextEvents), .status = 200, .body = kNextEvents},
      {.name = "404", .bytes = make(404, "no such"), .status = 404, .body = "no such"},
      {.name = "500", .bytes = make(500, "failure"), .status = 500, .body = "failure"},
      {.name = "503 not executed", .bytes = make(503, "full", "x-not-executed: 1\r\n")},
      {.name = "cut head", .bytes = "HTTP/1.1 500 Text\r\nContent-Le"}};
  return responses;
}

struct Case {
  RequestKind kind = RequestKind::kIdempotent;
  Framing framing = Framing::kLength;
  Ending ending = Ending::kClose;
  Cut cut = Cut::kInHead;
  bool in_one_read = true;
  int status = 200;
  /// Empty for a usual body.
  std::string large_body = {};
  const Next* next = nullptr;

  const std::string& body() const { return large_body.empty() ? kEvents : large_body; }
  bool is_stream() const {
    return kind == RequestKind::kStream || kind == RequestKind::kResumableStream;
  }
  std::string head() const {
    return net::MakeHead(framing, std::to_string(status) + " Text", "x-id: a\r\n", body().size());
  }
  std::size_t body_bytes() const {
    switch (cut) {
      case Cut::kInHead:
      case Cut::kAfterHead:
        return 0;
      case Cut::kInEvent:
        return body().size() - 5;
      case Cut::kBetweenEvents:
        return body().size() - kEvents.size() / 2;
      case Cut::kNowhere:
        return body().size();
    }
    return 0;
  }
  std::string bytes() const {
    const std::string whole = head();
    return cut == Cut::kInHead ? whole.substr(0, whole.size() / 2)
                               : whole + net::MakeBody(framing, body(), body_bytes());
  }
  /// @brief True if the endpoint's response is whole, as far as anyone can tell.
  bool complete() const {
    if (cut == Cut::kInHead) {
      return false;
    }
    const bool framed =
        net::EndsWithConnection(framing) ? net::IsOrderly(ending) : cut == Cut::kNowhere;
    return framed && (!is_stream() || status >= 300 || cut != Cut::kInEvent);
  }
  bool may_run_again() const { return kind == RequestKind::kIdempotent && large_body.empty(); }
  std::string name() const {
    return "kind " + std::to_string(static_cast<int>(kind)) + ", " + Name(framing) + ", " +
           Name(ending) + ", cut " + std::to_string(static_cast<int>(cut)) +
           (in_one_read ? ", one read" : ", two reads") + ", status " + std::to_string(status) +
           ", next " + (next == nullptr ? "none" : next->name);
  }
};

/// @brief A call of one of two endpoints. Whichever is called first breaks off its response.
struct Run {
  Run(net::Loop& event_loop, Case tested)
      : loop(event_loop),
        test(std::move(tested)),
        context(loop, {.self = {.id = DaemonId("self")}, .headers = MakeTestHeaderNames()}),
        servers{{{loop, Script()}, {loop, Script()}}} {
    std::vector<RegisteredEndpoint> endpoints;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      endpoints.push_back({.id = EndpointId("e" + std::to_string(i)),
                           .service = kService,
                           .address = servers.at(i).address(),
                           .slots = 4});
    }
    context.endpoints.SetEndpoints(endpoints);
  }

  void Start() {
    const bool silent = test.ending == Ending::kSilence && !test.complete();
    const Duration silence = test.may_run_again() ? kSilenceDeadlineWithRetry : kSilenceDeadline;
    call = std::make_shared<EndpointCall>(
        context,
        CallPlan{.id = RequestId("a"),
                 .service = kService,
                 .kind = test.kind,
                 .max_attempts = 2,
                 .method = "POST",
                 .target = "/",
                 .body = "request",
                 .deadline = loop.Now() + (silent ? silence : kDeadline)},
        CallCallbacks{.on_head =
                          [this](int status, const net::Headers&) {
                            ++heads;
                            head_status = status;
                          },
                      .on_data = [this](std::string_view data) { body += data; },
                      .on_done = [this](const Outcome& done) { outcome = done; }});
    call->Start();
  }

  net::ScriptedServer::Script Script() {
    return [this](net::RawConnection& connection, const std::string&) {
      if (++requests == 1 && !test.large_body.empty()) {
        connection.Send(test.bytes());
        // A reset takes what has not arrived.
        timers.push_back(loop.Every(std::chrono::milliseconds(1), [this, &connection] {
          if (body.size() == test.body_bytes()) {
            net::End(connection, test.ending);
          }
        }));
      } else if (requests == 1) {
        net::SendAndEnd(loop, connection, test.bytes(), test.ending, test.in_one_read, timers);
      } else if (test.next != nullptr) {
        connection.Send(test.next->bytes);
        connection.Close();
      }
    };
  }

  void Check() const {
    const std::string name = test.name();
    BOOST_TEST(heads <= 1, name);
    if (test.complete()) {
      CheckWhole(test.status, test.body().substr(0, test.body_bytes()));
      BOOST_TEST(requests == 1, name);
      return;
    }
    BOOST_TEST(requests == (test.may_run_again() ? 2 : 1), name);
    if (test.may_run_again() && test.next->status != 0) {
      CheckWhole(test.next->status, test.next->body);
      return;
    }
    BOOST_TEST(std::holds_alternative<Unknown>(*outcome), name);
    BOOST_TEST(test.body().starts_with(body), name);
    const bool passed_on_at_once =
        (test.is_stream() && test.status < 300) || !test.large_body.empty();
    BOOST_TEST(heads == (passed_on_at_once && test.cut != Cut::kInHead ? 1 : 0), name);
    if (heads == 1) {
      BOOST_TEST(head_status == test.status, name);
    }
  }
  void CheckWhole(int status, const std::string& expected) const {
    const std::string name = test.name();
    BOOST_TEST(std::holds_alternative<Completed>(*outcome), name);
    BOOST_TEST(heads == 1, name);
    BOOST_TEST(head_status == status, name);
    BOOST_TEST((body == expected), name);
  }

  net::Loop& loop;
  Case test;
  Context context;
  int requests = 0;
  std::vector<net::Timer> timers;
  std::array<net::ScriptedServer, 2> servers;
  std::shared_ptr<EndpointCall> call;
  std::optional<Outcome> outcome;
  std::string body;
  int heads = 0;
  int head_status = 0;
};

/// @brief Runs all cases at the same time.
void RunAll(const std::vector<Case>& cases) {
  net::Loop loop;
  std::vector<std::unique_ptr<Run>> runs;
  runs.reserve(cases.size());
  for (const Case& test : cases) {
    runs.push_back(std::make_unique<Run>(loop, test));
  }
  // The time to set up the cases is no part of their deadlines.
  const net::Timer start = loop.After(Duration(0), [&] {
    for (const auto& run : runs) {
      run->Start();
    }
  });
  net::RunUntil(loop, [&] {
    return std::all_of(runs.begin(), runs.end(),
                       [](const auto& run) { return run->outcome.has_value(); });
  });
  for (const auto& run : runs) {
    run->Check();
  }
}

std::vector<Case> MakeCases(Framing framing, Ending ending, RequestKind kind) {
  std::vector<Case> cases;
  for (const Cut cut : kCuts) {
    for (const bool in_one_read : {true, false}) {
      for (const Next& next : NextResponses()) {
        cases.push_back({.kind = kind,
                         .framing = framing,
                         .ending = ending,
                         .cut = cut,
                         .in_one_read = in_one_read,
                         .next = &next});
      }
    }
  }
  return cases;
}

void Append(std::vector<Case>& cases, const std::vector<Case>& more) {
  cases.insert(cases.end(), more.begin(), more.end());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(broken_response)

// Guards against bytes of a second endpoint behind a response that has begun, against broken
// responses that are delivered as whole, and against a second run of a request that may run once.
BOOST_AUTO_TEST_CASE(broken_responses_are_never_joined_or_completed) {
  for (const RequestKind kind : kKinds) {
    for (const Ending ending : {Ending::kClose, Ending::kHalfClose, Ending::kReset}) {
      std::vector<Case> cases;
      for (const Framing framing : net::kFramings) {
        Append(cases, MakeCases(framing, ending, kind));
      }
      RunAll(cases);
    }
  }
}

// Guards against the same when the endpoint falls silent and keeps its connection.
BOOST_AUTO_TEST_CASE(silent_responses_are_never_joined_or_completed) {
  std::vector<Case> cases;
  for (const RequestKind kind : kKinds) {
    for (const Framing framing : net::kFramings) {
      for (const Case& test : MakeCases(framing, Ending::kSilence, kind)) {
        if (test.in_one_read) {
          cases.push_back(test);
        }
      }
    }
  }
  RunAll(cases);
}

// Guards against a second attempt after a large response has begun to reach the caller.
BOOST_AUTO_TEST_CASE(large_responses_are_not_run_again_once_they_have_begun) {
  std::vector<Case> cases;
  for (const RequestKind kind : kKinds) {
    for (const int status : {200, 500}) {
      for (const Framing framing : net::kFramings) {
        for (const Ending ending : {Ending::kClose, Ending::kReset}) {
          for (const Cut cut : {Cut::kInEvent, Cut::kBetweenEvents, Cut::kNowhere}) {
            std::string body;
            while (body.size() < std::size_t{400} << 10) {
              body += kEvents;
            }
            cases.push_back({.kind = kind,
                             .framing = framing,
                             .ending = ending,
                             .cut = cut,
                             .in_one_read = false,
                             .status = status,
                             .large_body = body,
                             .next = &NextResponses().front()});
          }
        }
      }
    }
  }
  RunAll(cases);
}

// Guards against an error of an endpoint that is broken off as if it were a stream cut inside an
// event, and against a cut error that is delivered as a whole one.
BOOST_AUTO_TEST_CASE(errors_for_streams_are_no_streams) {
  std::vector<Case> cases;
  for (const RequestKind kind : {RequestKind::kStream, RequestKind::kResumableStream}) {
    for (const Framing framing : net::kFramings) {
      for (const Ending ending : {Ending::kClose, Ending::kHalfClose, Ending::kReset}) {
        for (const Cut cut : kCuts) {
          cases.push_back({.kind = kind,
                           .framing = framing,
                           .ending = ending,
                           .cut = cut,
                           .status = 404,
                           .next = &NextResponses().front()});
        }
      }
    }
  }
  RunAll(cases);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
