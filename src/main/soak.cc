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
      "acaciaspring_soak: runs gateway daemons under random faults and checks their guarantees.\n"
      "Exits with 1 if a guarantee was violated.\n\nOptions");
  soak::SoakOptions soak_options;
  std::int64_t fault_seconds = 20;
  description.add_options()("help,h", "print this help")(
      "seed", options::value(&soak_options.seed)->default_value(1),
      "seed of the faults and programs")("binary", options::value(&soak_options.binary)->required(),
                                         "path of the executable acaciaspring_gatewayd")(
      "directory", options::value(&soak_options.directory)->required(),
      "directory for settings and logs")(
      "daemons", options::value(&soak_options.daemons)->default_value(4), "number of daemons")(
      "programs", options::value(&soak_options.programs)->default_value(12),
      "number of concurrent programs")("seconds", options::value(&fault_seconds)->default_value(20),
                                       "seconds of fault injection");
  const auto parsed = acaciaspring::ParseCommandLine(argc, argv, "acaciaspring_soak", description);
  if (const auto* status = std::get_if<int>(&parsed)) {
    return *status;
  }
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  soak_options.duration = std::chrono::seconds(fault_seconds);
  std::vector<std::string> violations;
  try {
    std::filesystem::create_directories(soak_options.directory);
    violations = soak::Soak(soak_options).Run();
  } catch (const std::exception& error) {
    std::cerr << "acaciaspring_soak: " << error.what() << "\n";
    return acaciaspring::kRuntimeError;
  }
  for (const std::string& violation : violations) {
    std::cout << "VIOLATION seed " << soak_options.seed << ": " << violation << "\n";
  }
  return violations.empty() ? 0 : 1;
}
