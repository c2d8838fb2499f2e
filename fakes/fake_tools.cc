#include "fakes/fake_tools.h"

#include <memory>

int main(int argc, char** argv) {
  namespace fakes = acaciaspring::fakes;
  namespace po = boost::program_options;
  int work_ms = 0;
  po::options_description description("fake_tools");
  description.add_options()("work-ms", po::value(&work_ms),
                            "delay between the execution and the response");
  return fakes::RunFake(
      argc, argv, description,
      [&work_ms](acaciaspring::net::Loop& loop, const acaciaspring::net::Address& listen) {
        return std::make_shared<fakes::FakeTools>(loop, listen, std::chrono::milliseconds(work_ms));
      });
}
