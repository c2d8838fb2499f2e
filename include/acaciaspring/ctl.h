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

/// @brief Checks a folder without a daemon.
struct Check {
  std::string folder;
};
/// @brief Shows what `apply` would change.
struct Diff {
  std::string folder;
};
/// @brief Publishes a folder. Without a base, the revision in force when the command starts is
/// used.
struct Apply {
  std::string folder;
  std::optional<Revision> base;
  std::string author;
};
struct Status {};
struct Programs {
  bool with_ended = false;
};
struct Entries {};
/// @brief Starts the graceful shutdown of the daemon that is asked.
struct Drain {};

/// @brief Shows what log files of gateway daemons say about one request, and the cause of its end.
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
  /// The command line or the folder has mistakes.
  kInvalid = 2,
  /// Another change came first; nothing was changed.
  kConflict = 3,
  /// The change may or may not come into force; look at the status.
  kNotKnown = 4,
};

/// @brief Explains a request from the lines of one or more logs; kFailed if none is about it.
ExitCode ExplainRequest(const std::string& request_id,
                        const std::vector<std::string>& lines,
                        std::ostream& out);

ExitCode Run(const Command& command, const Options& options, std::ostream& out, std::ostream& err);

}  // namespace acaciaspring::ctl

#endif  // ACACIASPRING_CTL_H_
