#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/net/http_test_support.h"

namespace acaciaspring::net {

BOOST_AUTO_TEST_SUITE(aborted_response)

// Guards against an aborted response that a client takes for a whole one, because its connection
// ends in order and nothing else shows its end: HTTP/1.0 has no chunks, and h2o uses none for a
// status other than 200.
BOOST_AUTO_TEST_CASE(aborted_response_is_not_whole_for_any_client) {
  const std::vector<std::string> requests = {
      "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
      "GET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"};
  for (const std::string& request : requests) {
    for (const int status : {200, 201, 206, 404, 500}) {
      for (const bool at_once : {true, false}) {
        Loop loop;
        HttpResponderPtr responder;
        HttpServer server(loop, {.listen = kAnyLoopbackPort},
                          [&](const HttpRequest&, HttpResponderPtr received) {
                            responder = std::move(received);
                          });
        RawConnection client(loop, server.address());
        client.Send(request);
        RunUntil(loop, [&] { return responder != nullptr; });
        responder->Start(status, {});
        responder->Write("data: a\n\n");
        if (!at_once) {
          RunUntil(loop, [&] {
            return client.received().ends_with("\n\n") || client.received().ends_with("\n\n\r\n");
          });
        }
        responder->Abort();
        RunUntil(loop, [&] { return client.ended(); });
        const bool is_chunked =
            client.received().find("transfer-encoding: chunked") != std::string::npos;
        const bool is_cut = client.received().find("\r\n\r\n") == std::string::npos ||
                            (is_chunked && !client.received().ends_with("0\r\n\r\n"));
        BOOST_TEST((client.failed() || is_cut), request << status << client.received());
      }
    }
  }
}

// Guards against a whole response that a client takes for an aborted one.
BOOST_AUTO_TEST_CASE(whole_response_ends_in_order) {
  for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
    for (const int status : {200, 201, 500}) {
      const bool stays_open = version == "HTTP/1.1" && status == 200;

      for (const bool at_once : {true, false}) {
        Loop loop;
        HttpResponderPtr responder;
        HttpServer server(loop, {.listen = kAnyLoopbackPort},
                          [&](const HttpRequest&, HttpResponderPtr received) {
                            responder = std::move(received);
                          });
        RawConnection client(loop, server.address());
        client.Send("POST / " + version + "\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
        RunUntil(loop, [&] { return responder != nullptr; });
        responder->Start(status, {});
        responder->Write("data: a\n\n");
        if (!at_once) {
          RunUntil(loop,
                   [&] { return client.received().find("data: a\n\n") != std::string::npos; });
        }
        responder->End();
        RunUntil(loop, [&] {
          return stays_open ? client.received().ends_with("0\r\n\r\n") : client.ended();
        });
        BOOST_TEST(!client.failed(), version << status << client.received());
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
