#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

#include "src/net/http_test_support.h"

namespace acaciaspring::net {

namespace {

/// @brief What came on the connection before the copy.
enum class Earlier : std::uint8_t { kRefusal, kSuccess, kCopyOfOther };
/// @brief How the bytes of the copy arrive.
enum class Delivery : std::uint8_t { kWhole, kInTwoReads, kTwice, kAfterContinue, kBeforeResponse };

struct Refusal {
  std::string status_line;
  std::string headers;
  std::string body;
};

const std::vector<Refusal> kRefusals = {
    {"503 Full", "x-not-executed: 1\r\ncontent-length: 0\r\n", ""},
    {"503 Full", "x-not-executed: 1\r\ncontent-length: 4\r\n", "full"},
    {"503 Full", "x-not-executed: 1\r\ntransfer-encoding: chunked\r\n", "4\r\nfull\r\n0\r\n\r\n"},
    {"503 Full", "x-not-executed: 1\r\nconnection: close\r\ncontent-length: 0\r\n", ""},
    {"429 Slow", "x-not-executed: 1\r\nx-limit: 1\r\ncontent-length: 0\r\n", ""},
    {"421 Other", "content-length: 0\r\n", ""},
    {"400 No id", "x-not-executed: 1\r\ncontent-length: 0\r\n", ""},
};

std::string MakeRefusal(const Refusal& refusal, const std::string& id) {
  return "HTTP/1.1 " + refusal.status_line + "\r\n" + (id.empty() ? "" : "x-id: " + id + "\r\n") +
         refusal.headers + "\r\n" + refusal.body;
}

std::string MakeSuccess(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nx-id: " + id + "\r\ncontent-length: 0\r\n\r\n";
}

struct Fixture {
  /// @brief Closes all connections.
  void Reset() {
    client.emplace(loop, HttpClientOptions{});
    server.connections().clear();
  }

  void Start(const std::string& method, const std::string& id) {
    result.reset();
    head_status = 0;
    call = client->Send(
        {.server = server.address(), .method = method, .echo_header = "x-id", .echo_value = id},
        {.on_head = [this](int status, const Headers&) { head_status = status; },
         .on_done = [this](const HttpResult& done) { result = done; }});
  }

  /// @brief Waits for a request and returns the index of its connection.
  std::size_t WaitForRequest() {
    const auto has_request = [](const auto& connection) { return !connection->received().empty(); };
    RunUntil(loop, [&] { return std::ranges::any_of(server.connections(), has_request); });
    const auto found = std::ranges::find_if(server.connections(), has_request);
    (*found)->ClearReceived();
    return static_cast<std::size_t>(found - server.connections().begin());
  }

  void WaitForResult() {
    RunUntil(loop, [this] { return result.has_value(); });
  }

  /// @brief Lets the client read what has been sent.
  void RunSomeIterations() {
    int iterations = 0;
    RunUntil(loop, [&] { return ++iterations > 4; });
  }

  void Deliver(RawConnection& connection, const std::string& copy, Delivery delivery) {
    switch (delivery) {
      case Delivery::kWhole:
        connection.Send(copy);
        return;
      case Delivery::kInTwoReads:
        connection.Send(copy.substr(0, copy.find("\r\n") + 3));
        RunSomeIterations();
        connection.Send(copy.substr(copy.find("\r\n") + 3));
        return;
      case Delivery::kTwice:
        connection.Send(copy + copy);
        return;
      case Delivery::kAfterContinue:
        connection.Send("HTTP/1.1 100 Continue\r\n\r\n" + copy);
        return;
      case Delivery::kBeforeResponse:
        connection.Send(copy + MakeSuccess("b"));
        return;
    }
  }

  Loop loop;
  RawServer server{loop};
  std::optional<HttpClient> client;
  std::shared_ptr<HttpCall> call;
  std::optional<HttpResult> result;
  int head_status = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(repeated_refusal, Fixture)

// Guards against an earlier refusal without an id, written once more on a kept connection, that is
// taken for the response to the next request, although the server runs that request.
BOOST_AUTO_TEST_CASE(refusal_without_an_id_is_not_believed_on_a_kept_connection) {
  std::size_t rows = 0;
  std::size_t believed = 0;
  for (const Refusal& refusal : kRefusals) {
    for (const std::string method : {"GET", "POST", "HEAD", "DELETE"}) {
      for (const Earlier earlier : {Earlier::kRefusal, Earlier::kSuccess, Earlier::kCopyOfOther}) {
        for (const Delivery delivery : {Delivery::kWhole, Delivery::kInTwoReads, Delivery::kTwice,
                                        Delivery::kAfterContinue, Delivery::kBeforeResponse}) {
          Reset();
          Start("GET", "a");
          const std::size_t first = WaitForRequest();
          server.connections()[first]->Send(earlier == Earlier::kRefusal
                                                ? MakeRefusal(kRefusals.front(), "a")
                                                : MakeSuccess("a"));
          WaitForResult();
          Start(method, "b");
          const std::size_t second = WaitForRequest();
          BOOST_TEST(first == second);
          RawConnection& connection = *server.connections()[second];
          const std::string copy =
              (earlier == Earlier::kCopyOfOther ? MakeSuccess("a") : "") + MakeRefusal(refusal, "");
          Deliver(connection, copy, delivery);
          WaitForResult();
          ++rows;
          const bool row_believed = head_status != 0 || Describe(*result) != "interrupted";
          believed += row_believed ? 1 : 0;
          BOOST_TEST(!row_believed, method << " " << refusal.status_line << " "
                                           << static_cast<int>(earlier) << " "
                                           << static_cast<int>(delivery) << ": " << head_status
                                           << ", " << Describe(*result));
        }
      }
    }
  }
  BOOST_TEST_MESSAGE(believed << " of " << rows << " copies were believed");
}

// Guards against a genuine refusal that counts as a possible execution.
BOOST_AUTO_TEST_CASE(refusal_with_proof_is_delivered) {
  for (const Refusal& refusal : kRefusals) {
    for (const bool kept : {false, true}) {
      Reset();
      if (kept) {
        Start("GET", "a");
        const std::size_t first = WaitForRequest();
        server.connections()[first]->Send(MakeSuccess("a"));
        WaitForResult();
      }
      Start("GET", "b");
      const std::size_t connection = WaitForRequest();
      // On a new connection there is no earlier response that could be repeated.
      server.connections()[connection]->Send(MakeRefusal(refusal, kept ? "b" : ""));
      WaitForResult();
      BOOST_TEST(Describe(*result) == "finished " + refusal.status_line.substr(0, 3));
    }
  }
}

// Guards against the copy of a response without an id, which could not be told from the next
// response on the connection.
BOOST_AUTO_TEST_CASE(connection_with_a_response_without_an_id_is_not_used_again) {
  for (const std::string& response :
       {MakeRefusal(kRefusals.front(), ""),
        std::string("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")}) {
    Reset();
    Start("GET", "a");
    const std::size_t first = WaitForRequest();
    server.connections()[first]->Send(response);
    WaitForResult();
    Start("GET", "b");
    const std::size_t second = WaitForRequest();
    BOOST_TEST(first != second);
    server.connections()[first]->Send(response);
    server.connections()[second]->Send(MakeSuccess("b"));
    WaitForResult();
    BOOST_TEST(Describe(*result) == "finished 200");
  }
}

// Guards against a discarded response that is taken for a lost connection.
BOOST_AUTO_TEST_CASE(result_names_the_status_that_was_not_believed) {
  Reset();
  Start("GET", "a");
  RawConnection& connection = *server.connections()[WaitForRequest()];
  connection.Send(MakeSuccess("a"));
  WaitForResult();
  Start("GET", "b");
  WaitForRequest();
  connection.Send(MakeRefusal({"429 Slow", "content-length: 0\r\n", ""}, ""));
  WaitForResult();
  const auto* interrupted = std::get_if<HttpInterrupted>(&*result);
  BOOST_REQUIRE(interrupted != nullptr);
  BOOST_TEST(interrupted->unidentified_status == 429);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
