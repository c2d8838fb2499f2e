#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "src/gateway/test_cluster.h"
#include "src/net/scripted_server.h"

namespace acaciaspring::gateway {

namespace {

const std::string kEvents = "data: a\n\ndata: b\n\n";
const std::string kLength = "Content-Length: " + std::to_string(kEvents.size()) + "\r\n";
constexpr std::size_t kAttemptsOfSafeRequests = 2;

/// @brief What the endpoint sends, with `ID` in the place of the request's id.
struct Answer {
  std::string bytes;
  /// The status and body that the caller receives; 0 if the answer is broken.
  int status = 0;
  std::string body = {};
};

Answer Broken(const std::string& head) {
  return {.bytes = head + "\r\n" + kEvents};
}

Answer Sound(const std::string& head, int status) {
  return {.bytes = head + "\r\n" + kEvents, .status = status, .body = kEvents};
}

struct Case {
  std::size_t daemon = 0;
  RequestKind kind = RequestKind::kStream;
  bool retained = false;
  const Answer* answer = nullptr;

  std::string name() const {
    return "daemon " + std::to_string(daemon) + ", kind " + std::to_string(static_cast<int>(kind)) +
           (retained ? ", retained" : "") + ", answer:\n" + answer->bytes;
  }
};

/// @brief Each answer for each kind of request, sent to the owner of its program and to a daemon
/// that passes turns on to the owner.
std::vector<Case> MakeCases(const std::vector<Answer>& answers) {
  std::vector<Case> cases;
  for (const Answer& answer : answers) {
    for (const std::size_t daemon : {0, 1}) {
      cases.push_back({.daemon = daemon, .retained = true, .answer = &answer});
      for (const RequestKind kind : {RequestKind::kStream, RequestKind::kResumableStream,
                                     RequestKind::kAtMostOnce, RequestKind::kIdempotent}) {
        cases.push_back({.daemon = daemon, .kind = kind, .answer = &answer});
      }
    }
  }
  return cases;
}

/// @brief Each case has a route and a service with two endpoints, which give the same answer.
struct Fixture {
  net::ScriptedServer::Script Script() {
    return [this](net::RawConnection& connection, const std::string& request) {
      constexpr std::string_view kName = "\r\nx-id: ";
      const std::size_t start = request.find(kName) + kName.size();
      const std::string id = request.substr(start, request.find("\r\n", start) - start);
      ++attempts[id];
      const auto answer = answers.find(id);
      std::string bytes = answer == answers.end()
                              ? "HTTP/1.1 200 OK\r\nx-id: ID\r\n" + kLength + "\r\n" + kEvents
                              : answer->second->bytes;
      if (const std::size_t at = bytes.find("ID"); at != std::string::npos) {
        bytes.replace(at, 2, id);
      }
      connection.Send(bytes);
      connection.Close();
    };
  }

  std::unique_ptr<net::RawConnection> Send(std::size_t daemon,
                                           std::size_t route,
                                           const std::string& id,
                                           const std::string& previous = "") {
    const std::string number = std::to_string(route);
    return cluster.Send(daemon, "/" + number + "/",
                        "x-id: " + id + "\r\nx-program: p" + number + "\r\n" +
                            (previous.empty() ? "" : "x-previous: " + previous + "\r\n"),
                        "input");
  }

  void Configure(const std::vector<Case>& cases) {
    Configuration configuration{.version = ConfigurationVersion(1)};
    std::vector<RegisteredEndpoint> endpoints;
    for (std::size_t i = 0; i < cases.size(); ++i) {
      const ServiceId service("s" + std::to_string(i));
      configuration.routes.push_back({.name = "r" + std::to_string(i),
                                      .host = "h",
                                      .path_prefix = "/" + std::to_string(i) + "/",
                                      .kind = cases[i].kind,
                                      .timeout = std::chrono::hours(1),
                                      .services = {{.service = service}},
                                      .max_attempts = kAttemptsOfSafeRequests,
                                      .retained = cases[i].retained});
      configuration.services.push_back({.id = service});
      for (std::size_t engine = 0; engine < engines.size(); ++engine) {
        endpoints.push_back({.id = EndpointId(service.value() + "e" + std::to_string(engine)),
                             .service = service,
                             .address = engines.at(engine).address(),
                             .slots = 8});
      }
    }
    cluster.Configure(configuration, endpoints);
    // Turns go through the peer once it knows the owner.
    const auto first = Send(/*daemon=*/1, /*route=*/0, "first");
    cluster.Until([&] { return TestCluster::IsOver(*first); });
    BOOST_TEST(ParseResponse(*first).status == 200);
  }

  void Run(const std::vector<Answer>& tested) {
    const std::vector<Case> cases = MakeCases(tested);
    Configure(cases);
    std::vector<std::unique_ptr<net::RawConnection>> callers;
    for (std::size_t i = 0; i < cases.size(); ++i) {
      const std::string id = "t" + std::to_string(i);
      answers[id] = cases[i].answer;
      callers.push_back(Send(cases[i].daemon, i, id));
    }
    cluster.Until([&] {
      return std::all_of(callers.begin(), callers.end(),
                         [](const auto& caller) { return TestCluster::IsOver(*caller); });
    });
    for (std::size_t i = 0; i < cases.size(); ++i) {
      Check(cases[i], *callers[i], attempts["t" + std::to_string(i)]);
      if (cases[i].retained) {
        CheckNextTurn(cases[i], i);
      }
    }
  }

  static void Check(const Case& test, const net::RawConnection& caller, std::size_t attempted) {
    const std::string name = test.name() + "received:\n" + caller.received();
    const ReadResponse response = ParseResponse(caller);
    BOOST_TEST(response.whole, name);
    if (test.answer->status != 0) {
      BOOST_TEST(response.status == test.answer->status, name);
      BOOST_TEST(response.body == test.answer->body, name);
      return;
    }
    BOOST_TEST(response.status == 502, name);
    BOOST_TEST(response.body == "connection_lost\n", name);
    BOOST_TEST(attempted == (test.kind == RequestKind::kIdempotent ? kAttemptsOfSafeRequests : 1),
               name);
  }

  /// @brief A turn whose answer was broken is no turn that others can continue from.
  void CheckNextTurn(const Case& test, std::size_t index) {
    const std::string number = std::to_string(index);
    const auto next = Send(test.daemon, index, "n" + number, "t" + number);
    cluster.Until([&] { return TestCluster::IsOver(*next); });
    const bool is_kept = test.answer->status == 200;
    BOOST_TEST(ParseResponse(*next).status == (is_kept ? 200 : 404), test.name());
  }

  TestCluster cluster;
  std::map<std::string, std::size_t> attempts;
  std::map<std::string, const Answer*> answers;
  std::array<net::ScriptedServer, 2> engines = {net::ScriptedServer(cluster.loop, Script()),
                                                net::ScriptedServer(cluster.loop, Script())};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(broken_head, Fixture)

// Guards against a caller that receives an answer whose status does not exist.
BOOST_AUTO_TEST_CASE(invalid_status_is_no_answer) {
  std::vector<Answer> tested;
  for (const char* status : {"000", "001", "099", "600", "999", "0200", "2", "20"}) {
    const std::string line = "HTTP/1.1 " + std::string(status) + " Text\r\nx-id: ID\r\n";
    tested.push_back(Broken(line + kLength));
    tested.push_back(Broken(line));
    // Says nothing about the request either.
    tested.push_back(Broken(line + "x-not-executed: 1\r\n" + kLength));
  }
  tested.push_back(Sound("HTTP/1.1 200\r\nx-id: ID\r\n" + kLength, 200));
  tested.push_back(Sound("HTTP/1.1 299 Text\r\nx-id: ID\r\n" + kLength, 299));
  tested.push_back(Sound("HTTP/1.1 404 Text\r\nx-id: ID\r\n" + kLength, 404));
  tested.push_back(Sound("HTTP/1.1 599 Text\r\nx-id: ID\r\n" + kLength, 599));
  Run(tested);
}

// Guards against a caller that receives a header line whose name holds a blank or a control byte,
// or a body with the wrong end because such a line hid its length.
BOOST_AUTO_TEST_CASE(invalid_header_name_makes_no_answer) {
  const std::string start = "HTTP/1.1 200 OK\r\nx-id: ID\r\n";
  std::vector<Answer> tested;
  for (const char* name : {"X Bad", "X-Bad ",
                           "X\x01"
                           "Bad",
                           "X-Bad\x7f", "X-Bad\t"}) {
    tested.push_back(Broken(start + name + ": 1\r\n" + kLength));
    tested.push_back(Broken(start + name + ": 1\r\n"));
  }
  tested.push_back(Broken("HTTP/1.1 200 OK\r\n x-first: 1\r\nx-id: ID\r\n" + kLength));
  for (const char* line : {"Content-Length : 9\r\n", "Content Length: 9\r\n"}) {
    tested.push_back(Broken(start + line));
  }
  const std::string chunk = "12\r\n" + kEvents + "\r\n0\r\n";
  for (const char* line : {"Transfer-Encoding : chunked\r\n", "Transfer Encoding: chunked\r\n"}) {
    tested.push_back({.bytes = start + line + "\r\n" + chunk + "\r\n"});
  }
  tested.push_back(
      Sound(start + "X-Empty:\r\nX-Folded: a\r\n b\r\nx_!#$%&'*+.^`|~1: c : d\r\n" + kLength, 200));
  Run(tested);
}

// Guards against a caller that receives a part of the head as the body, because a carriage return
// within a line was taken for the end of the head.
BOOST_AUTO_TEST_CASE(carriage_return_within_a_line_makes_no_answer) {
  const std::string start = "HTTP/1.1 200 OK\r\nx-id: ID\r\n";
  Run({Broken(start + kLength + "\rX-Bad: 1\r\n"), Broken(start + "\rX-Bad: 1\r\n" + kLength),
       Broken(start + "X-Bad:\r1\r\n" + kLength),
       Broken("HTTP/1.1 200 OK\rX-Bad: 1\r\nx-id: ID\r\n" + kLength),
       Sound("HTTP/1.1 200 \xc3\xa4\tb\nX: \xc3\xa4\tb\nx-id: ID\n" + kLength, 200)});
}

// Guards against a caller that receives chunks of the wrong size as a whole body.
BOOST_AUTO_TEST_CASE(chunk_of_the_wrong_size_makes_no_answer) {
  const std::string start = "HTTP/1.1 404 Text\r\nx-id: ID\r\nTransfer-Encoding: chunked\r\n\r\n";
  Run({{.bytes = start + "4\r\nfull..0\r\n\r\n"},
       {.bytes = start + "4 7\r\nfull\r\n0\r\n\r\n"},
       {.bytes = start + "4\r\nfull\r\n0\r\n\rX"},
       {.bytes = start + "4;a\r\nfull\r\n0\r\nX: 1\r\n\r\n", .status = 404, .body = "full"}});
}

// Guards against a caller that receives the body of an informational response as the beginning of
// the final one.
BOOST_AUTO_TEST_CASE(body_of_an_informational_response_makes_no_answer) {
  const std::string last = "HTTP/1.1 404 Text\r\nx-id: ID\r\n" + kLength;
  const std::string first = "HTTP/1.1 100 Continue\r\n";
  Run({Broken(first + "Content-Length: 4\r\n\r\nfull" + last),
       Broken(first + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n" + last),
       Sound(first + "\r\n" + last, 404),
       Sound(first + "Content-Length: 0\r\n\r\n" + last, 404),
       {.bytes = "HTTP/1.1 304 Text\r\nx-id: ID\r\nContent-Length: 4\r\n\r\n", .status = 304}});
}

// Guards against a caller that receives a body in a coding that nothing names.
BOOST_AUTO_TEST_CASE(unknown_transfer_coding_makes_no_answer) {
  const std::string start = "HTTP/1.1 404 Text\r\nx-id: ID\r\nTransfer-Encoding: ";
  const std::string chunks = "\r\n4\r\nfull\r\n0\r\n\r\n";
  Run({{.bytes = start + "gzip, chunked\r\n" + chunks},
       {.bytes = start + "gzip\r\n\r\nfull"},
       {.bytes = start + "xchunked\r\n" + chunks},
       {.bytes = start + "Chunked\r\n" + chunks, .status = 404, .body = "full"}});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
