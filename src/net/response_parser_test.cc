#include "src/net/response_parser.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace acaciaspring::net {

namespace {

const std::string kFramedBody = "Content-Length: 4\r\n\r\nfull";

/// @brief Records the final response and, in `received`, everything that reaches the client.
struct Recorder : ResponseParser::Delegate {
  ResponseParser::AfterHead OnResponseHead(int status, const Headers& headers) override {
    received = std::to_string(status) + " ";
    for (const auto& [name, value] : headers) {
      received += name + "=" + value + " ";
    }
    return ResponseParser::AfterHead::kBody;
  }
  bool OnResponseBody(std::string_view data) override {
    body += data;
    return true;
  }
  std::string received;
  std::string body;
};

/// @brief Describes what becomes of `bytes` before an orderly end of the connection: status and
/// body of a complete response, or "broken". They are parsed in pieces of `step` bytes.
std::string Read(const std::string& bytes, std::size_t step) {
  Recorder recorder;
  ResponseParser parser(recorder);
  parser.Start();
  auto state = ResponseParser::State::kIncomplete;
  for (std::size_t i = 0; i < bytes.size() && state == ResponseParser::State::kIncomplete;
       i += step) {
    std::string_view piece = std::string_view(bytes).substr(i, step);
    state = parser.Parse(piece);
  }
  if (state == ResponseParser::State::kIncomplete) {
    state = parser.ParseEnd();
  }
  if (state != ResponseParser::State::kComplete) {
    return "broken";
  }
  return recorder.received.substr(0, recorder.received.find(' ') + 1) + recorder.body;
}

void Check(const std::string& bytes, const std::string& expected) {
  for (const std::size_t step : {bytes.size(), std::size_t{1}, std::size_t{3}}) {
    BOOST_TEST(Read(bytes, step) == expected, bytes << "\nin pieces of " << step);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(response_parser)

// Guards against an answer whose status or version does not exist, and against one that is refused
// for a deviation that HTTP/1.1 lets recipients accept.
BOOST_AUTO_TEST_CASE(status_line_has_a_version_and_a_status_of_http) {
  for (const char* status : {"000", "001", "099", "600", "999", "1000", "0200", "00200", "2", "20",
                             "-20", "+200", "2x0", "200x", "2 00", ""}) {
    Check("HTTP/1.1 " + std::string(status) + " Text\r\n" + kFramedBody, "broken");
    Check("HTTP/1.1 " + std::string(status) + "\r\n" + kFramedBody, "broken");
    Check(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + std::string(status) + " Text\r\n" + kFramedBody,
        "broken");
  }
  for (const char* version : {"HTTP/0.9", "HTTP/2.0", "HTTP/11.1", "HTTP/1.10", "HTTP/1.",
                              "http/1.1", "HTTPS/1.1", "ICY"}) {
    Check(version + (" 200 OK\r\n" + kFramedBody), "broken");
  }
  for (const char* status : {"200", "201", "299", "400", "451", "500", "599"}) {
    const std::string expected = std::string(status) + " full";
    for (const char* version : {"HTTP/1.0", "HTTP/1.1", "HTTP/1.9"}) {
      for (const char* reason : {" OK", "", " ", " 404 of 5", " \xc3\xa4\tb", "  OK"}) {
        Check(version + (" " + std::string(status) + reason + "\r\n" + kFramedBody), expected);
      }
    }
    Check("HTTP/1.1  " + std::string(status) + " OK\r\n" + kFramedBody, expected);
    Check("\r\n\r\nHTTP/1.1 " + std::string(status) + " OK\r\n" + kFramedBody, expected);
    Check("HTTP/1.1 " + std::string(status) + " OK\nContent-Length: 4\n\nfull", expected);
  }
}

// Guards against a header line whose name is no token: it is passed on, or hides the length of the
// body. Blanks around the name count as well (RFC 9112, 5.1).
BOOST_AUTO_TEST_CASE(header_names_are_tokens) {
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string chunks = "\r\n4\r\nfull\r\n0\r\n";
  for (const char* name : {"X Bad", "X-Bad ", " X-Bad", "X-Bad\t", "X\tBad",
                           "X\x01"
                           "Bad",
                           "X\x7f"
                           "Bad",
                           "X\x1f", "X\x80", "X\"Bad", "X(Bad)", "X@Bad", ""}) {
    const std::string line = name + std::string(": 1\r\n");
    Check(start + line + kFramedBody, "broken");
    Check(start + "X: 1\r\n" + line + "Connection: close\r\n\r\nfull",
          *name == ' ' ? "200 full" : "broken");
    Check("HTTP/1.1 103 Hints\r\n" + line + "\r\n" + start + kFramedBody, "broken");
    Check(start + "Transfer-Encoding: chunked\r\n" + chunks + line + "\r\n", "broken");
  }
  Check(start + std::string("X\0Bad: 1\r\n", 10) + kFramedBody, "broken");
  Check(start + "NoColon\r\n" + kFramedBody, "broken");
  for (const char* blank : {" ", "\t", "  "}) {
    Check(start + "Content-Length" + blank + ": 4\r\n\r\nfull", "broken");
    Check(start + "Content" + blank + "Length: 4\r\n\r\nfull", "broken");
    Check(start + "Transfer-Encoding" + blank + ": chunked\r\n" + chunks + "\r\n", "broken");
    Check(start + "Transfer" + blank + "Encoding: chunked\r\n" + chunks + "\r\n", "broken");
  }
  for (const char* name : {"x", "X-1", "!#$%&'*+-.^_`|~", "a_b.c"}) {
    for (const char* value : {"", " ", " 1", "\t1 \t", " a:b \xc3\xa4 \"(", " a\r\n\tb"}) {
      const std::string line = name + std::string(":") + value + "\r\n";
      Check(start + line + kFramedBody, "200 full");
      Check(start + "Transfer-Encoding: chunked\r\n" + chunks + line + "\r\n", "200 full");
    }
  }
}

// Guards against a head that ends at a carriage return within a line, so that the rest of the line
// becomes the body. A carriage return or a NUL makes a line invalid, wherever it stands.
BOOST_AUTO_TEST_CASE(lines_hold_no_carriage_return_or_nul) {
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string nul(1, '\0');
  for (const std::string& line : std::vector<std::string>{
           "\rX: 1", "\rX", "\r", "X\r: 1", "X:\r1", "X: \r1", "X: 1\r2", "X: 1\r", "X:" + nul,
           "X: " + nul, "X: 1" + nul, "X" + nul + ": 1", nul}) {
    Check(start + line + "\r\n" + kFramedBody, "broken");
    Check(start + "Content-Length: 4\r\n" + line + "\r\n\r\nfull", "broken");
    Check("HTTP/1.1 103 Hints\r\n" + line + "\r\n\r\n" + start + kFramedBody, "broken");
  }
  for (const std::string& line : std::vector<std::string>{
           "HTTP/1.1 200 OK\rX: 1", "HTTP/1.1 200 O\rK", "HTTP/1.1 200\r OK", "HTTP/1.1 200 OK\r",
           "HTTP/1.1 200 O" + nul + "K", "HTTP/1.1 200 " + nul, "\rHTTP/1.1 200 OK"}) {
    Check(line + "\r\n" + kFramedBody, "broken");
  }
  // Other control bytes in a value need no rejection (RFC 9110, 5.5).
  Check(start + "X: \x01\r\n" + kFramedBody, "200 full");
}

// Guards against a body whose chunks are not where their sizes say.
BOOST_AUTO_TEST_CASE(chunks_end_where_their_sizes_say) {
  const std::string start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char* body : {"4\r\nfullXY0\r\n\r\n",
                           "4\r\nfull\r0\r\n\r\n",
                           "4\r\nfull\n0\r\n\r\n",
                           "4\r\nfullx\r\n0\r\n\r\n",
                           "4\r\nful\r\n0\r\n\r\n",
                           "4\r\nfull\r\n0\r\n\rX",
                           "4\r\nfull\r\n0\r\n\rX: 1\r\n\r\n",
                           "4\r\nfull\r\n0\rX\r\n",
                           "4\rXfull\r\n0\r\n\r\n",
                           "4\nfull\r\n0\r\n\r\n",
                           "4 7\r\nfull\r\n0\r\n\r\n",
                           "4x\r\nfull\r\n0\r\n\r\n",
                           " 4\r\nfull\r\n0\r\n\r\n",
                           "-4\r\nfull\r\n0\r\n\r\n",
                           "0x4\r\nfull\r\n0\r\n\r\n",
                           "\r\nfull\r\n0\r\n\r\n",

                           "4;a\rb\r\nfull\r\n0\r\n\r\n",
                           "4\r\nfull\r\n0 1\r\n\r\n",

                           "4\r\nfull\r\n\r\n0\r\n\r\n",
                           "10000000000000004\r\nfull\r\n0\r\n\r\n"}) {
    Check(start + body, "broken");
  }
  for (const char* body :
       {"4\r\nfull\r\n0\r\n\r\n", "0004\r\nfull\r\n000\r\n\r\n", "1\r\nf\r\n3\r\null\r\n0\r\n\r\n",
        "4;a\r\nfull\r\n0;b\r\n\r\n", "4 ; a = \"b\"\r\nfull\r\n0\r\n\r\n",
        "4  \r\nfull\r\n0 \r\n\r\n", "4\r\nfull\r\n0\r\nX: 1\r\nY:\r\n\r\n"}) {
    Check(start + body, "200 full");
  }
  Check(start + "A\r\n\r\n0\r\n\r\n\r\nX\r\n2\r\n\r\n\r\n0\r\n\r\n", "200 \r\n0\r\n\r\n\r\nX\r\n");
}

// Guards against a body of an informational response that becomes part of the final one, and
// against a wait for a body that never comes (RFC 9112, 6.3).
BOOST_AUTO_TEST_CASE(responses_without_content_end_with_their_head) {
  const std::string final_response = "HTTP/1.1 200 OK\r\n" + kFramedBody;
  for (const char* status : {"100 Continue", "102 Processing", "103 Hints", "199 Other"}) {
    const std::string line = "HTTP/1.1 " + std::string(status) + "\r\n";
    Check(line + "\r\n" + final_response, "200 full");
    Check(line + "X: 1\r\n\r\n" + line + "\r\n" + final_response, "200 full");
    Check(line + "Content-Length: 0\r\n\r\n" + final_response, "200 full");
    Check(line + "Content-Length: 9\r\n\r\n" + final_response, "200 full");
    Check(line + "Content-Length: 4\r\n\r\nbody" + final_response, "broken");
    Check(line + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + final_response,
          "broken");
  }
  for (const std::string status : {"204", "304"}) {
    const std::string line = "HTTP/1.1 " + status + " Text\r\n";
    Check(line + "\r\n", status + " ");
    Check(line + "Content-Length: 0\r\n\r\n", status + " ");
    Check(line + "Content-Length: 4\r\n\r\n", status + " ");
    Check(line + "Transfer-Encoding: chunked\r\n\r\n", status + " ");
  }
  // The body of a response that has none would be taken for the next response.
  const std::vector<std::pair<std::string, bool>> heads = {
      {"204 Text\r\n\r\n", true},
      {"204 Text\r\nContent-Length: 0\r\n\r\n", true},
      {"204 Text\r\nContent-Length: 4\r\n\r\n", false},
      {"204 Text\r\nTransfer-Encoding: chunked\r\n\r\n", false},
      {"304 Text\r\nContent-Length: 4\r\n\r\n", true}};
  for (const auto& [head, keep_alive] : heads) {
    Recorder recorder;
    ResponseParser parser(recorder);
    parser.Start();
    const std::string bytes = "HTTP/1.1 " + head;
    std::string_view data = bytes;
    BOOST_TEST((parser.Parse(data) == ResponseParser::State::kComplete), head);
    BOOST_TEST(parser.keep_alive() == keep_alive, head);
  }
}

// Guards against bytes of another protocol that are read as a response. No request of ours asks for
// one.
BOOST_AUTO_TEST_CASE(switch_of_protocols_is_no_response) {
  const std::string final_response = "HTTP/1.1 200 OK\r\n" + kFramedBody;
  for (const char* lines : {"", "Upgrade: x\r\n", "Connection: upgrade\r\nUpgrade: x\r\n"}) {
    Check("HTTP/1.1 101 Switching\r\n" + (lines + ("\r\n" + final_response)), "broken");
  }
  Check("HTTP/1.1 200 OK\r\nConnection: upgrade\r\nUpgrade: x\r\n" + kFramedBody, "200 full");
}

// Guards against a body in a coding that the caller cannot know of, because the header that names
// it concerns the connection only and is not passed on.
BOOST_AUTO_TEST_CASE(body_has_no_other_coding_than_chunked) {
  const std::string chunks = "\r\n4\r\nfull\r\n0\r\n\r\n";
  const std::string start = "HTTP/1.1 200 OK\r\n";
  for (const char* codings :
       {"gzip", "gzip, chunked", "gzip,chunked", "x", "xchunked", "chunkedx", "chunked, gzip",
        "chunked, chunked", "chunked;q=1", "chunked\r\nTransfer-Encoding: gzip",
        "gzip\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: chunked",
        "identity, gzip", "\"chunked\"", "chunked chunked"}) {
    Check(start + "Transfer-Encoding: " + codings + "\r\n" + chunks, "broken");
    Check(start + "Transfer-Encoding: " + codings + "\r\n\r\nfull", "broken");
  }
  for (const char* line : {"Transfer-Encoding: chunked", "transfer-encoding:CHUNKED  ",
                           "TRANSFER-ENCODING: Chunked", "Transfer-Encoding: \r\n chunked"}) {
    Check(start + line + "\r\n" + chunks, "200 full");
    Check("HTTP/1.0 200 OK\r\n" + (line + ("\r\n" + chunks)), "200 full");
  }
  // Valid, but http_parser does not find the chunks; it passed the sizes on as part of the body.
  Check(start + "Transfer-Encoding: chunked\t\r\n" + chunks, "broken");
  // No coding of a registered name; the body is what the server sent.
  Check(start + "Transfer-Encoding: identity\r\n\r\nfull", "200 full");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::net
