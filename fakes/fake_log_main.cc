#include <memory>

#include "fakes/fake_log.h"

int main(int argc, char** argv) {
  namespace fakes = acaciaspring::fakes;
  namespace po = boost::program_options;
  fakes::LogOptions options;
  po::options_description description("fake_log");
  description.add_options()("retention-ms", po::value(&options.retention_ms),
                            "maximum age of records, 0 for no limit")(
      "retention-count", po::value(&options.retention_count),
      "maximum number of records per stream, 0 for no limit")(
      "appends-per-second", po::value(&options.appends_per_second),
      "maximum rate of appends, 0 for no limit");
  return fakes::RunFake(
      argc, argv, description,
      [&options](acaciaspring::net::Loop& loop, const acaciaspring::net::Address& listen) {
        return std::make_shared<fakes::FakeLog>(loop, listen, options);
      });
}
