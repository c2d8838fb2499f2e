#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "src/net/http_test_support.h"
#include "src/net/scripted_server.h"

namespace acaciaspring::net {

namespace {

constexpr Duration kSilenceLimit = std::chrono::milliseconds(300);
const std::string kBody = "data: a\n\ndata: b\n\n";
constexpr std::string_view kEchoHeader = "x-id";

/// @brief One response that is sent up to `size` bytes, after which the server ends.
struct Case {
  std::string bytes;
  Ending ending = Ending::kClose;
  bool in_one_read = true;
  bool complete = false;
  std::string name;
};

struct Fixture {
  /// @brief Sends one request for each case, all at the same time.
  void Run(const std::vector<Case>& cases) {
    ScriptedServer server(loop, [&](RawConnection& connection, const std::string& request) {
      const Case& found = cases.at(std::stoul(request.substr(request.find('/') + 1)));
      SendAndEnd(loop, connection, found.bytes, found.ending, found.in_one_read, timers);
    });
    std::vector<std::optional<HttpResult>> results(cases.size());
    std::vector<std::string> bodies(cases.size());
    std::vector<int> statuses(cases.size());
    std::vector<std::shared_ptr<HttpCall>> calls;
    for (std::size_t i = 0; i < cases.size(); ++i) {
      calls.push_back(client.Send(
          {.server = server.address(),
           .target = "/" + std::to_string(i),
           .io_timeout = cases[i].ending == Ending::kSilence ? kSilenceLimit : Duration(kLong),
           .echo_header = std::string(kEchoHeader),
           .echo_value = "a",
           .accept_close_delimited = true},
          {.on_head = [&, i](int status, const Headers&) { statuses[i] = status; },
           .on_data = [&, i](std::string_view data) { bodies[i] += data; },
           .on_done = [&, i](const HttpResult& result) { results[i] = result; }}));
    }
    RunUntil(loop, [&] {
      return std::all_of(results.begin(), results.end(),
                         [](const auto& result) { return result.has_value(); });
    });
    timers.clear();
    for (std::size_t i = 0; i < cases.size(); ++i) {
      const std::string expected = cases[i].complete                     ? "finished 200"
                                   : cases[i].ending == Ending::kSilence ? "timed out"
                                                                         : "interrupted";
      BOOST_TEST(Describe(*results[i]) == expected, cases[i].name);
      BOOST_TEST(kBody.starts_with(bodies[i]), cases[i].name);
    }
  }

  static constexpr auto kLong = std::chrono::seconds(30);
  Loop loop;
  HttpClient client{loop, {}};
  std::vector<Timer> timers;
};

std::string Describe(Framing framing, Ending ending, std::size_t size, bool in_one_read) {
  return Name(framing) + ", " + Name(ending) + ", cut after " + std::to_string(size) +
         (in_one_read ? ", one read" : ", two reads");
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cut_response, Fixture)

// Guards against a head that stops in the middle and is taken for a response with an empty or short
// body.
BOOST_AUTO_TEST_CASE(response_that_ends_in_its_head_is_not_complete) {
  for (const Ending ending : kEndings) {
    for (const bool in_one_read : {true, false}) {
      std::vector<Case> cases;
      for (const Framing framing : kFramings) {
        const std::string head = MakeHead(framing, "200 OK", "x-id: a\r\n", kBody.size());
        for (std::size_t size = 0; size < head.size(); ++size) {
          cases.push_back({.bytes = head.substr(0, size),
                           .ending = ending,
                           .in_one_read = in_one_read,
                           .name = Describe(framing, ending, size, in_one_read)});
        }
      }
      Run(cases);
    }
  }
}

// Guards against the same after an interim response, whose head is complete.
BOOST_AUTO_TEST_CASE(response_that_ends_after_an_interim_one_is_not_complete) {
  for (const Ending ending : kEndings) {
    std::vector<Case> cases;
    for (const std::string interim : {"HTTP/1.1 100 Continue\r\n\r\n",
                                      "HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n"}) {
      const std::string head = MakeHead(Framing::kNeither, "200 OK", "x-id: a\r\n", 0);
      for (std::size_t size = 0; size < head.size(); ++size) {
        cases.push_back({.bytes = interim + head.substr(0, size),
                         .ending = ending,
                         .name = interim + Name(ending) + std::to_string(size)});
      }
    }
    Run(cases);
  }
}

// Guards against a body that is cut and taken for a whole one, and against a whole one without a
// length that is taken for a cut one: only an orderly end of the connection completes it.
BOOST_AUTO_TEST_CASE(body_is_complete_at_its_end_only) {
  for (const Ending ending : kEndings) {
    for (const bool in_one_read : {true, false}) {
      std::vector<Case> cases;
      for (const Framing framing : kFramings) {
        const std::string head = MakeHead(framing, "200 OK", "x-id: a\r\n", kBody.size());
        for (std::size_t size = 0; size <= kBody.size(); ++size) {
          const bool whole = size == kBody.size();
          cases.push_back({.bytes = head + MakeBody(framing, kBody, size),
                           .ending = ending,
                           .in_one_read = in_one_read,
                           .complete = EndsWithConnection(framing) ? IsOrderly(ending) : whole,
                           .name = Describe(framing, ending, size, in_one_read)});
        }
      }
      Run(cases);
    }
  }
}

// Guards against an empty body that is complete without the end of its connection.
BOOST_AUTO_TEST_CASE(empty_body_is_complete_at_an_orderly_end_only) {
  for (const Ending ending : kEndings) {
    for (const bool in_one_read : {true, false}) {
      std::vector<Case> cases;
      for (const Framing framing : {Framing::kNeither, Framing::kNeitherClose}) {
        cases.push_back({.bytes = MakeHead(framing, "200 OK", "x-id: a\r\n", 0),
                         .ending = ending,
                         .in_one_read = in_one_read,
                         .complete = IsOrderly(ending),
                         .name = Describe(framing, ending, 0, in_one_read)});
      }
      Run(cases);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
