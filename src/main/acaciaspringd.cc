#include <glog/logging.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

#include "acaciaspring/daemon.h"
#include "src/main/command_line.h"

namespace {

namespace options = boost::program_options;

using acaciaspring::kRuntimeError;
using acaciaspring::kUsageError;

int RunDaemon(const std::string& settings_path) {
  acaciaspring::net::Loop loop;
  acaciaspring::daemon::Daemon daemon(loop, acaciaspring::config::LoadSettings(settings_path));
  const auto shut_down = [&] { daemon.Shutdown([&] { loop.Stop(); }); };
  loop.OnSignal(SIGTERM, shut_down);
  loop.OnSignal(SIGINT, shut_down);
  daemon.Start();
  loop.Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description description(
      "acaciaspringd: schedules agent programs between callers and back ends.\n"
      "SIGTERM starts a graceful shutdown.\n\nOptions");
  description.add_options()("help,h", "print this help")(
      "settings,s", options::value<std::string>(), "settings file (JSON with comments)")(
      "check", "check the settings and exit");
  const auto parsed = acaciaspring::ParseCommandLine(argc, argv, "acaciaspringd", description);
  if (const auto* status = std::get_if<int>(&parsed)) {
    return *status;
  }
  const auto& values = std::get<options::variables_map>(parsed);
  if (!values.contains("settings")) {
    std::cerr << "acaciaspringd: --settings is required\n";
    return kUsageError;
  }
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  try {
    const auto path = values["settings"].as<std::string>();
    if (values.contains("check")) {
      acaciaspring::config::LoadSettings(path);
      return 0;
    }
    return RunDaemon(path);
  } catch (const acaciaspring::config::ConfigError& error) {
    std::cerr << error.what() << "\n";
    return kUsageError;
  } catch (const acaciaspring::Error& error) {
    std::cerr << "acaciaspringd: " << error.what() << "\n";
    return kRuntimeError;
  }
}
