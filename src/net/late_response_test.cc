#include <boost/test/unit_test.hpp>
#include <optional>

#include "src/net/http_test_support.h"

namespace acaciaspring::net {

namespace {

constexpr std::string_view kEchoHeader = "x-id";

/// @brief A response with the given id, or without one if it is empty.
std::string MakeResponse(const std::string& id,
                         const std::string& body,
                         const std::string& framing) {
  const std::string head = "HTTP/1.1 " +
                           std::string(framing == "204" ? "204 No Content" : "200 OK") + "\r\n" +
                           (id.empty() ? "" : std::string(kEchoHeader) + ": " + id + "\r\n");
  if (framing == "chunked") {
    return head + "Transfer-Encoding: chunked\r\n\r\n" + std::to_string(body.size()) + "\r\n" +
           body + "\r\n0\r\n\r\n";
  }
  if (framing == "204") {
    return head + "\r\n";
  }
  return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief When the server sends the second copy of the first response.
enum class CopyTime : std::uint8_t { kWithTheFirst, kWhileIdle, kWithTheNextRequest };

struct Fixture {
  HttpClientRequest MakeRequest(const std::string& id) const {
    return {.server = server.address(),
            .io_timeout = std::chrono::seconds(30),
            .echo_header = std::string(kEchoHeader),
            .echo_value = id};
  }

  void Start(const std::string& id) {
    reply.reset();
    Fetch(client, MakeRequest(id), kMaxTestBodyBytes,
          [this](HttpReply result) { reply = std::move(result); });
  }

  /// @brief Waits until the connection with the given index has received a request.
  RawConnection& WaitForRequest(std::size_t connection) {
    RunUntil(loop, [&] {
      return server.connections().size() > connection &&
             !server.connections()[connection]->received().empty();
    });
    server.connections()[connection]->ClearReceived();
    return *server.connections()[connection];
  }

  /// @brief Waits for the next request on any connection.
  RawConnection& WaitForAnyRequest() {
    RawConnection* found = nullptr;
    RunUntil(loop, [&] {
      for (const auto& connection : server.connections()) {
        if (!connection->received().empty()) {
          found = connection.get();
        }
      }
      return found != nullptr;
    });
    found->ClearReceived();
    return *found;
  }

  void WaitForReply() {
    RunUntil(loop, [&] { return reply.has_value(); });
  }

  Loop loop;
  RawServer server{loop};
  HttpClient client{loop, {}};
  std::optional<HttpReply> reply;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(late_response, Fixture)

// Guards against a second copy of a response that the next caller on the connection gets as its
// own.
BOOST_AUTO_TEST_CASE(second_copy_is_never_delivered_to_the_next_request) {
  int request = 0;
  for (const std::string framing : {"length", "chunked", "204"}) {
    for (const bool with_id : {true, false}) {
      for (const CopyTime time :
           {CopyTime::kWithTheFirst, CopyTime::kWhileIdle, CopyTime::kWithTheNextRequest}) {
        const std::string first = "r" + std::to_string(++request);
        const std::string second = "r" + std::to_string(++request);
        const std::string response = MakeResponse(first, "first", framing);
        const std::string copy = MakeResponse(with_id ? first : "", "first", framing);
        Start(first);
        RawConnection& connection = WaitForAnyRequest();
        connection.Send(time == CopyTime::kWithTheFirst ? response + copy : response);
        WaitForReply();
        if (time == CopyTime::kWhileIdle) {
          connection.Send(copy);
        }
        Start(second);
        RawConnection& next = WaitForAnyRequest();
        if (time == CopyTime::kWithTheNextRequest) {
          BOOST_TEST(&next == &connection);
          next.Send(copy);
        }
        next.Send(MakeResponse(second, "second", "length"));
        WaitForReply();
        // The copy without an id cannot be told from the response, so the request is interrupted.
        const bool whole = Describe(reply->result) == "finished 200" && reply->body == "second";
        const bool interrupted = Describe(reply->result) == "interrupted" && reply->body.empty();
        BOOST_TEST((with_id ? whole : whole || interrupted),
                   framing << " " << with_id << " " << static_cast<int>(time) << ": "
                           << Describe(reply->result) << " " << reply->body);
      }
    }
  }
}

// Guards against a second copy that reaches the next caller, because a header without a value hides
// the id that follows it.
BOOST_AUTO_TEST_CASE(second_copy_is_recognised_behind_a_header_without_a_value) {
  int request = 0;
  for (const std::string empty : {"vary:\r\n", "vary: \t \r\n", "a:\r\nb:\r\na: \r\n"}) {
    const std::string first = "r" + std::to_string(++request);
    const std::string second = "r" + std::to_string(++request);
    const auto respond = [&](const std::string& id, const std::string& body) {
      return "HTTP/1.1 200 OK\r\n" + empty + std::string(kEchoHeader) + ": " + id +
             "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    Start(first);
    RawConnection& connection = WaitForAnyRequest();
    connection.Send(respond(first, "first"));
    WaitForReply();
    BOOST_TEST(reply->body == "first");
    Start(second);
    RawConnection& next = WaitForAnyRequest();
    BOOST_TEST(&next == &connection);
    next.Send(respond(first, "first") + respond(second, "second"));
    WaitForReply();
    BOOST_TEST(Describe(reply->result) == "finished 200", empty);
    BOOST_TEST(reply->body == "second", empty);
  }
}

// Guards against further copies on a connection whose server repeats itself.
BOOST_AUTO_TEST_CASE(connection_with_a_second_copy_is_not_used_again) {
  Start("a");
  WaitForRequest(0).Send(MakeResponse("a", "first", "length"));
  WaitForReply();
  Start("b");
  WaitForRequest(0).Send(MakeResponse("a", "first", "length") +
                         MakeResponse("b", "second", "length"));
  WaitForReply();
  BOOST_TEST(reply->body == "second");
  Start("c");
  WaitForRequest(1).Send(MakeResponse("c", "third", "length"));
  WaitForReply();
  BOOST_TEST(reply->body == "third");
}

// Guards against a second copy that never ends and keeps the request waiting.
BOOST_AUTO_TEST_CASE(endless_second_copy_ends_the_request) {
  Start("a");
  WaitForRequest(0).Send(MakeResponse("a", "first", "length"));
  WaitForReply();
  Start("b");
  RawConnection& connection = WaitForRequest(0);
  connection.Send("HTTP/1.1 200 OK\r\nx-id: a\r\nContent-Length: 999999999\r\n\r\n");
  const Timer sender = loop.Every(std::chrono::milliseconds(1), [&] {
    if (!connection.ended()) {
      connection.Send(std::string(65536, 'x'));
    }
  });
  WaitForReply();
  BOOST_TEST(Describe(reply->result) == "interrupted");
}

// Guards against a call that a server keeps open by sending a byte now and then.
BOOST_AUTO_TEST_CASE(trickling_response_ends_at_the_total_timeout) {
  HttpClientRequest request = MakeRequest("a");
  request.total_timeout = std::chrono::milliseconds(100);
  Fetch(client, std::move(request), kMaxTestBodyBytes,
        [this](HttpReply result) { reply = std::move(result); });
  RawConnection& connection = WaitForRequest(0);
  connection.Send("HTTP/1.1 200 OK\r\nx-id: a\r\nContent-Length: 999999999\r\n\r\n");
  const Timer sender = loop.Every(std::chrono::milliseconds(5), [&] { connection.Send("x"); });
  WaitForReply();
  BOOST_TEST(Describe(reply->result) == "timed out");
}

// Guards against an exception in the handling of one response that ends the process.
BOOST_AUTO_TEST_CASE(exception_in_a_callback_interrupts_only_its_request) {
  int errors = 0;
  loop.OnError([&](const std::exception&) { ++errors; });
  for (const bool in_head : {true, false}) {
    std::optional<HttpResult> result;
    const auto call = client.Send(
        MakeRequest("a"), {.on_head =
                               [&](int, const Headers&) {
                                 if (in_head) {
                                   throw std::runtime_error("head");
                                 }
                               },
                           .on_data = [&](std::string_view) { throw std::runtime_error("data"); },
                           .on_done = [&](const HttpResult& done) { result = done; }});
    WaitForAnyRequest().Send(MakeResponse("a", "body", "length"));
    RunUntil(loop, [&] { return result.has_value(); });
    BOOST_TEST(Describe(*result) == "interrupted");
  }
  BOOST_TEST(errors == 2);
  bool posted = false;
  loop.Post([] { throw std::runtime_error("posted"); });
  loop.Post([&] { posted = true; });
  const Timer timer =
      loop.After(std::chrono::milliseconds(1), [] { throw std::runtime_error("timer"); });
  RunUntil(loop, [&] { return errors == 4; });
  BOOST_TEST(posted);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
