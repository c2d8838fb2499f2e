// Load tool: runs agent programs against the caller API and verifies every response.

#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <optional>

#include "src/load/first_token_comparison.h"
#include "src/load/load_run.h"

namespace acaciaspring::load {

namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

int Run(const LoadOptions& options) {
  net::Loop loop;
  net::HttpClient client(loop, {.pool_capacity = 256});
  EntryDirectory directory(loop, client, options.entries, options.organisation_keys.front(),
                           options.seed);
  Report report;
  const LoadContext context{loop, client, directory, options, report};
  const auto stop_loop = [&loop] { loop.Stop(); };
  LoadRun run(context, stop_loop);
  FirstTokenComparison comparison(context, stop_loop);
  directory.Start([&] {
    if (options.direct) {
      comparison.Start();
    } else {
      run.Start();
    }
  });
  for (const int signal_number : {SIGTERM, SIGINT}) {
    loop.OnSignal(signal_number, stop_loop);
  }
  const net::Timer time_limit_timer =
      loop.After(std::chrono::seconds(options.time_limit_s), [&loop] {
        LOG(ERROR) << "time limit reached; stopping the load run";
        loop.Stop();
      });
  loop.Run();
  if (options.direct) {
    comparison.Print(std::cout);
  } else {
    run.CountAbandoned();
    PrintReport(report, std::cout);
  }
  return report.correct() ? kExitSuccess : kExitFailure;
}

}  // namespace

}  // namespace acaciaspring::load

int main(int argc, char** argv) {
  namespace load = acaciaspring::load;
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  try {
    const std::optional<load::LoadOptions> options = load::ParseOptions(argc, argv);
    return options ? load::Run(*options) : load::kExitSuccess;
  } catch (const acaciaspring::Error& error) {
    LOG(ERROR) << "cannot start the load run: " << error.what();
    return load::kExitUsage;
  }
}
