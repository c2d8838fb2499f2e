#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include "acaciaspring/ctl.h"

namespace {

namespace ctl = acaciaspring::ctl;
namespace options = boost::program_options;

constexpr const char* kUsage =
    "acaciaspringctl: operates a cluster of acaciaspring daemons.\n\n"
    "  check DIR     check the configuration files of a folder; reports file, line and key "
    "of each error\n"
    "  diff DIR      show the changes that apply would make\n"
    "  apply DIR     publish the folder as the new configuration\n"
    "  status        show members, roles, revision in force, queues and log health\n"
    "  programs      list programs\n"
    "  entries       list the addresses that callers may connect to\n"
    "  drain         start the graceful shutdown of the daemon given by --server\n"
    "  explain ID LOG...  show the log lines of gateway daemons about a request and the cause of "
    "its outcome\n\n"
    "Exit codes: 0 success, 1 refused or no response, 2 invalid command line or configuration,\n"
    "3 conflict with another change, 4 outcome of apply unknown.\n\n"
    "The operator key is read from the environment variable ACACIASPRING_OPERATOR_KEY.\n\nOptions";

std::optional<ctl::Command> ParseCommand(const options::variables_map& values) {
  const auto name = values["command"].as<std::string>();
  const std::string operand = values.contains("folder") ? values["folder"].as<std::string>() : "";
  if (name == "check" && !operand.empty()) {
    return ctl::Check{operand};
  }
  if (name == "diff" && !operand.empty()) {
    return ctl::Diff{operand};
  }
  if (name == "apply" && !operand.empty()) {
    ctl::Apply apply;
    apply.folder = operand;
    if (values.contains("base")) {
      apply.base = acaciaspring::Revision(values["base"].as<std::uint64_t>());
    }
    return apply;
  }
  if (name == "explain" && !operand.empty() && values.contains("logs")) {
    return ctl::Explain{operand, values["logs"].as<std::vector<std::string>>()};
  }
  if (!operand.empty()) {
    return std::nullopt;
  }
  if (name == "status") {
    return ctl::Status{};
  }
  if (name == "programs") {
    return ctl::Programs{values.contains("ended")};
  }
  if (name == "entries") {
    return ctl::Entries{};
  }
  if (name == "drain") {
    return ctl::Drain{};
  }
  return std::nullopt;
}

int RunTool(int argc, char** argv) {
  options::options_description visible_options(kUsage);
  visible_options.add_options()("help,h", "print this help")(
      "server,s", options::value<std::string>()->default_value("127.0.0.1:8001"),
      "HTTP address of a daemon")("base", options::value<std::uint64_t>(),
                                  "apply: revision on which the change is based")(
      "ended", "programs: include ended programs")("json", "status, programs: print JSON");
  options::options_description all_options;
  all_options.add(visible_options)
      .add_options()("command", options::value<std::string>())(
          "folder", options::value<std::string>())("logs",
                                                   options::value<std::vector<std::string>>());
  options::positional_options_description positional_arguments;
  positional_arguments.add("command", 1).add("folder", 1).add("logs", -1);
  options::variables_map values;
  options::store(options::command_line_parser(argc, argv)
                     .options(all_options)
                     .positional(positional_arguments)
                     .run(),
                 values);
  if (values.contains("help")) {
    std::cout << visible_options;
    return 0;
  }
  const auto command = values.contains("command") ? ParseCommand(values) : std::nullopt;
  if (!command.has_value()) {
    std::cerr << "acaciaspringctl: unknown command or invalid arguments; see --help\n";
    return static_cast<int>(ctl::ExitCode::kInvalid);
  }
  ctl::Options ctl_options;
  ctl_options.server = acaciaspring::net::ParseAddress(values["server"].as<std::string>());
  ctl_options.json = values.contains("json");
  if (const char* key = std::getenv("ACACIASPRING_OPERATOR_KEY")) {
    ctl_options.operator_key = key;
  }
  return static_cast<int>(ctl::Run(*command, ctl_options, std::cout, std::cerr));
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return RunTool(argc, argv);
  } catch (const options::error& error) {
    std::cerr << "acaciaspringctl: " << error.what() << "\n";
  } catch (const acaciaspring::Error& error) {
    std::cerr << "acaciaspringctl: " << error.what() << "\n";
  }
  return static_cast<int>(ctl::ExitCode::kInvalid);
}
