// Fake store of model weights with a rate limit.

#include <memory>
#include <string>

#include "fakes/fake_http_server.h"

namespace acaciaspring::fakes {

namespace {

class FakeWeights {
 public:
  FakeWeights(net::Loop& loop,
              const net::Address& listen,
              double reads_per_second,
              std::size_t bytes)
      : limiter_(reads_per_second), bytes_(bytes), server_(loop, listen, {}) {
    server_.Route("GET", "/weights/{model}/{version}", [this](const Call& call) { Read(call); });
  }

 private:
  void Read(const Call& call) {
    if (!limiter_.Allow(server_.loop().Now())) {
      server_.Count("over_limit");
      call.responder->Respond(429, {{"retry-after", "1"}}, "");
      return;
    }
    server_.Count("reads");
    const std::string name = call.parameters[0] + "/" + call.parameters[1] + "\n";
    std::string body;
    while (body.size() < bytes_) {
      body += name;
    }
    body.resize(bytes_);
    call.responder->Respond(200, {{"content-type", "application/octet-stream"}}, body);
  }

  RateLimiter limiter_;
  std::size_t bytes_;
  FakeHttpServer server_;
};

}  // namespace

}  // namespace acaciaspring::fakes

int main(int argc, char** argv) {
  namespace fakes = acaciaspring::fakes;
  namespace po = boost::program_options;
  double reads_per_second = 1;
  std::size_t bytes = 1024;
  po::options_description description("fake_weights");
  description.add_options()("reads-per-second", po::value(&reads_per_second),
                            "maximum rate of reads, 0 for no limit")("bytes", po::value(&bytes),
                                                                     "size of a response");
  return fakes::RunFake(
      argc, argv, description,
      [&](acaciaspring::net::Loop& loop, const acaciaspring::net::Address& listen) {
        return std::make_shared<fakes::FakeWeights>(loop, listen, reads_per_second, bytes);
      });
}
