// Rate-limited weight store.

#include <memory>
#include <string>

#include "fakes/fake_http_server.h"

namespace acaciaspring::fakes {

namespace {

class FakeWeights {
 public:
  FakeWeights(net::Loop& loop, const net::Address& listen, double per_second, std::size_t bytes)
      : limit_(per_second), bytes_(bytes), service_(loop, listen, {}) {
    service_.Route("GET", "/weights/{model}/{version}", [this](const Call& call) { Read(call); });
  }

 private:
  void Read(const Call& call) {
    if (!limit_.Allow(service_.loop().Now())) {
      service_.Count("over_limit");
      call.responder->Respond(429, {{"retry-after", "1"}}, "");
      return;
    }
    service_.Count("reads");
    const std::string name = call.parameters[0] + "/" + call.parameters[1] + "\n";
    std::string body;
    while (body.size() < bytes_) {
      body += name;
    }
    body.resize(bytes_);
    call.responder->Respond(200, {{"content-type", "application/octet-stream"}}, body);
  }

  RateLimit limit_;
  std::size_t bytes_;
  FakeHttpServer service_;
};

}  // namespace

}  // namespace acaciaspring::fakes

int main(int argc, char** argv) {
  namespace fakes = acaciaspring::fakes;
  namespace po = boost::program_options;
  double per_second = 1;
  std::size_t bytes = 1024;
  po::options_description description("fake_weights");
  description.add_options()("reads-per-second", po::value(&per_second), "limit, 0 for none")(
      "bytes", po::value(&bytes), "size of an answer");
  return fakes::RunFake(
      argc, argv, description,
      [&](acaciaspring::net::Loop& loop, const acaciaspring::net::Address& listen) {
        return std::make_shared<fakes::FakeWeights>(loop, listen, per_second, bytes);
      });
}
