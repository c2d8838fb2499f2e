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
  loop.OnError([](const std::exception& error) {
    LOG(ERROR) << "a callback failed, its request was ended: " << error.what();
  });
  platform::Node node(loop, platform::LoadSettings(path));
  const auto shut_down = [&] { node.Shutdown([&] { loop.Stop(); }); };
  loop.OnSignal(SIGTERM, shut_down);
  loop.OnSignal(SIGINT, shut_down);
  loop.OnSignal(SIGHUP, [&] {
    try {
      node.Reload(platform::LoadSettings(path));
    } catch (const platform::SettingsError& error) {
      LOG(ERROR) << "reload failed, the previous settings stay in force: " << error.what();
    }
  });
  loop.Run();
  // Skips all destructors: the operating system reclaims the memory, and destroying every object
  // would only delay the exit.
  std::_Exit(0);
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description description(
      "acaciaspring_gatewayd: schedules agent programs on the platform of the users.\n"
      "SIGTERM starts a graceful shutdown; SIGHUP reloads the settings.\n\nOptions");
  description.add_options()("help,h", "print this help")(
      "settings,s", options::value<std::string>(),
      "settings file (TOML); default: value of the environment variable "
      "ACACIASPRING_SETTINGS")("check", "check the settings and exit");
  const auto parsed =
      acaciaspring::ParseCommandLine(argc, argv, "acaciaspring_gatewayd", description);
  if (const auto* status = std::get_if<int>(&parsed)) {
    return *status;
  }
  const auto& values = std::get<options::variables_map>(parsed);
  const char* path_from_environment = std::getenv("ACACIASPRING_SETTINGS");
  const std::string path = values.contains("settings")        ? values["settings"].as<std::string>()
                           : path_from_environment != nullptr ? std::string(path_from_environment)
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
