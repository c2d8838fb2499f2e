// A server sends a header without a value before the request id. With one answer in forty it also
// sends a second copy, at the point where the next answer is expected.
#include <thread>

#include "review/support/raw_server.h"
#include "review/support/stand_ins.h"

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int kRequests = 400;
constexpr int kCopyEvery = 40;

std::string MakeAnswer(const std::string& id) {
  const std::string body = "done " + id;
  return "HTTP/1.1 200 OK\r\nvary:\r\nacaciaspring-request-id: " + id +
         "\r\nacaciaspring-server-stamp: tool-0." + id +
         "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

int main(int, char** argv) {
  const bool trouble = TroubleWanted();
  int answers = 0;
  std::string former_id;
  std::atomic<int> copies = 0;
  RawServer tool([&](const std::string&, const std::string& id) {
    std::this_thread::sleep_for(5ms);
    std::string bytes;
    if (trouble && ++answers % kCopyEvery == 0) {
      bytes = MakeAnswer(former_id);
      ++copies;
    }
    former_id = id;
    return RawAnswer{.bytes = bytes + MakeAnswer(id), .keep = true};
  });
  Deployment deployment(argv[1], {}, 3);
  deployment.AddServer({.id = "engine-0", .service = "engines", .streams = true});
  deployment.Register("tool-0", "tools", tool.address());
  if (!deployment.StartAll()) {
    return kCouldNotRun;
  }
  int whole = 0;
  int mixed = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = deployment.NewId();
    const CallAnswer answer = deployment.Call(id, *deployment.daemons().front());
    const bool success = answer.whole && answer.status == 200;
    whole += success && answer.body == "done " + id ? 1 : 0;
    if (success && answer.body != "done " + id) {
      ++mixed;
      deployment.record().Write("MIXED: order " + id + " gets the answer \"" + answer.body + "\"");
    }
  }
  deployment.record().Write(std::to_string(kRequests) + " orders, " + std::to_string(whole) +
                            " got their own answer, " + std::to_string(copies) +
                            " late second copies were sent, " + std::to_string(mixed) +
                            " orders got the answer to another one");
  if (whole == 0) {
    return kCouldNotRun;
  }
  return mixed > 0 ? kBroken : kHeld;
}
