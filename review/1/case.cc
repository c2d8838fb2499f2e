// A server sends answers without a length. It resets the connection midway through one in
// fifty of them.
#include <mutex>
#include <set>
#include <thread>

#include "review/support/raw_server.h"
#include "review/support/stand_ins.h"

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int kRequests = 750;
constexpr int kResetEvery = 50;
constexpr std::size_t kBodyBytes = 800;

}  // namespace

int main(int, char** argv) {
  const bool trouble = TroubleWanted();
  std::mutex mutex;
  std::set<std::string> reset_ids;
  int answers = 0;
  RawServer tool([&](const std::string&, const std::string& id) {
    std::this_thread::sleep_for(5ms);
    const bool reset = trouble && ++answers % kResetEvery == 0;
    std::string bytes = "HTTP/1.1 200 OK\r\nacaciaspring-request-id: " + id +
                        "\r\nacaciaspring-server-stamp: tool-0." + id +
                        "\r\nconnection: close\r\n\r\n" + std::string(kBodyBytes, 'x');
    if (reset) {
      const std::lock_guard lock(mutex);
      reset_ids.insert(id);
      bytes.resize(bytes.size() - kBodyBytes / 2);
    }
    return RawAnswer{.bytes = std::move(bytes), .reset = reset};
  });
  Deployment deployment(argv[1], {}, 3);
  deployment.AddServer({.id = "engine-0", .service = "engines", .streams = true});
  deployment.Register("tool-0", "tools", tool.address());
  if (!deployment.StartAll()) {
    return kCouldNotRun;
  }
  int whole = 0;
  int resets = 0;
  int mixed = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = deployment.NewId();
    const CallAnswer answer = deployment.Call(id, *deployment.daemons()[i % 3]);
    const bool success = answer.whole && answer.status == 200;
    whole += success && answer.body.size() == kBodyBytes ? 1 : 0;
    {
      const std::lock_guard lock(mutex);
      resets += static_cast<int>(reset_ids.count(id));
    }
    if (success && answer.body.size() != kBodyBytes) {
      ++mixed;
      deployment.record().Write("MIXED: the answer to " + id + " has " +
                                std::to_string(answer.body.size()) + " of " +
                                std::to_string(kBodyBytes) + " bytes and is framed as complete");
    }
  }
  deployment.record().Write(std::to_string(kRequests) + " orders, " + std::to_string(whole) +
                            " whole answers, " + std::to_string(resets) +
                            " answers reset midway, " + std::to_string(mixed) +
                            " of these framed as complete");
  if (whole == 0) {
    return kCouldNotRun;
  }
  return mixed > 0 ? kBroken : kHeld;
}
