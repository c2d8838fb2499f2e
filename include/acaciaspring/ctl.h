#ifndef ACACIASPRING_CTL_H_
#define ACACIASPRING_CTL_H_

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

#include "acaciaspring/base.h"
#include "acaciaspring/net.h"

namespace acaciaspring::ctl {

/// @brief Checks a configuration folder locally, without contacting a daemon.
struct Check {
  std::string folder;
};
/// @brief Lists the differences between the configuration in force and a folder.
struct Diff {
  std::string folder;
};
/// @brief Publishes a folder as the new configuration. Without a base, the change is based on the
/// revision in force when the command starts.
struct Apply {
  std::string folder;
  std::optional<Revision> base;
  std::string author;
};
struct Status {};
struct Programs {
  bool include_ended = false;
};
struct Entries {};
/// @brief Starts the graceful shutdown of the daemon at `Options::server`.
struct Drain {};

/// @brief Shows the log lines of gateway daemons about one request and the cause of its outcome.
struct Explain {
  std::string request_id;
  std::vector<std::string> log_files;
};

using Command = std::variant<Check, Diff, Apply, Status, Programs, Entries, Drain, Explain>;

struct Options {
  net::Address server;
  std::string operator_key;
  Duration timeout = std::chrono::seconds(15);
  /// Print JSON instead of tables.
  bool json = false;
};

/// @brief Exit codes of acaciaspringctl.
enum class ExitCode : int {
  kOk = 0,
  /// The daemon refused, failed or could not be reached; nothing was changed.
  kFailed = 1,
  /// The command line or the configuration folder is invalid.
  kInvalid = 2,
  /// Another change was accepted after the base revision; nothing was changed.
  kConflict = 3,
  /// It is unknown whether the change takes effect; the status shows the revision in force.
  kOutcomeUnknown = 4,
};

/// @brief Explains a request from the lines of one or more logs. Returns kFailed if no line carries
/// the id of the request.
ExitCode ExplainRequest(const std::string& request_id,
                        const std::vector<std::string>& lines,
                        std::ostream& out);

ExitCode Run(const Command& command, const Options& options, std::ostream& out, std::ostream& err);

}  // namespace acaciaspring::ctl

#endif  // ACACIASPRING_CTL_H_
