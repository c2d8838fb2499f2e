#include <memory>

#include "fakes/fake_log.h"

int main(int argc, char** argv) {
  namespace fakes = acaciaspring::fakes;
  namespace po = boost::program_options;
  fakes::LogOptions options;
  po::options_description description("fake_log");
  description.add_options()("retention-ms", po::value(&options.retention_ms),
                            "age at which records are dropped, 0 for never")(
      "retention-count", po::value(&options.retention_count), "records kept, 0 for all")(
      "appends-per-second", po::value(&options.appends_per_second), "limit, 0 for none");
  return fakes::RunFake(
      argc, argv, description,
      [&options](acaciaspring::net::Loop& loop, const acaciaspring::net::Address& listen) {
        return std::make_shared<fakes::FakeLog>(loop, listen, options);
      });
}
