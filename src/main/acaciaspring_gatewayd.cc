#include <glog/logging.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "platform/node.h"
#include "src/main/command_line.h"

namespace {

namespace options = boost::program_options;
namespace platform = acaciaspring::platform;

using acaciaspring::kRuntimeError;
using acaciaspring::kUsageError;

int Run(const std::string& path) {
  acaciaspring::net::Loop loop;
  platform::Node node(loop, platform::LoadSettings(path));
  const auto shut_down = [&] { node.Shutdown([&] { loop.Stop(); }); };
  loop.OnSignal(SIGTERM, shut_down);
  loop.OnSignal(SIGINT, shut_down);
  loop.OnSignal(SIGHUP, [&] {
    try {
      node.Reload(platform::LoadSettings(path));
    } catch (const platform::SettingsError& error) {
      LOG(ERROR) << "settings are kept as they were: " << error.what();
    }
  });
  loop.Run();
  // The operating system takes back the memory; the destruction of all objects would only delay
  // the end.
  std::_Exit(0);
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description description(
      "acaciaspring_gatewayd: schedules agent programs on the users' platform.\n"
      "SIGTERM starts a graceful shutdown; SIGHUP reads the settings again.\n\nOptions");
  description.add_options()("help,h", "print this text")(
      "settings,s", options::value<std::string>(),
      "settings file (TOML); default: the variable ACACIASPRING_SETTINGS")(
      "check", "check the settings and exit");
  const auto parsed =
      acaciaspring::ParseCommandLine(argc, argv, "acaciaspring_gatewayd", description);
  if (const auto* status = std::get_if<int>(&parsed)) {
    return *status;
  }
  const auto& values = std::get<options::variables_map>(parsed);
  const char* variable = std::getenv("ACACIASPRING_SETTINGS");
  const std::string path = values.contains("settings") ? values["settings"].as<std::string>()
                           : variable != nullptr       ? std::string(variable)
                                                       : std::string();
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  try {
    if (values.contains("check")) {
      platform::LoadSettings(path);
      return 0;
    }
    return Run(path);
  } catch (const platform::SettingsError& error) {
    std::cerr << "acaciaspring_gatewayd: " << error.what() << "\n";
    return kUsageError;
  } catch (const acaciaspring::Error& error) {
    std::cerr << "acaciaspring_gatewayd: " << error.what() << "\n";
    return kRuntimeError;
  }
}
