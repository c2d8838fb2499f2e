#include <glog/logging.h>

#include <boost/program_options.hpp>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "platform/soak/soak.h"
#include "src/main/command_line.h"

namespace {

namespace options = boost::program_options;
namespace soak = acaciaspring::soak;

}  // namespace

int main(int argc, char** argv) {
  options::options_description description(
      "acaciaspring_soak: runs gateway daemons with random faults and checks their promises.\n"
      "Exit status 1 when a promise was broken.\n\nOptions");
  soak::SoakOptions run;
  std::int64_t seconds = 20;
  description.add_options()("help,h", "print this text")(
      "seed", options::value(&run.seed)->default_value(1), "seed of the faults and programs")(
      "binary", options::value(&run.binary)->required(), "path of acaciaspring_gatewayd")(
      "directory", options::value(&run.directory)->required(), "folder for settings and logs")(
      "daemons", options::value(&run.daemons)->default_value(4), "number of daemons")(
      "programs", options::value(&run.programs)->default_value(12), "programs at a time")(
      "seconds", options::value(&seconds)->default_value(20), "time with faults");
  const auto parsed = acaciaspring::ParseCommandLine(argc, argv, "acaciaspring_soak", description);
  if (const auto* status = std::get_if<int>(&parsed)) {
    return *status;
  }
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  run.duration = std::chrono::seconds(seconds);
  std::vector<std::string> violations;
  try {
    std::filesystem::create_directories(run.directory);
    violations = soak::Soak(run).Run();
  } catch (const std::exception& error) {
    std::cerr << "acaciaspring_soak: " << error.what() << "\n";
    return acaciaspring::kRuntimeError;
  }
  for (const std::string& violation : violations) {
    std::cout << "VIOLATION seed " << run.seed << ": " << violation << "\n";
  }
  return violations.empty() ? 0 : 1;
}
