#include "src/load/first_token_comparison.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

#include "fakes/fake_engine.h"
#include "src/load/fake_scheduler.h"

namespace acaciaspring::load {

// Guards against a path without calls: its percentiles would be 0, and the added time meaningless.
BOOST_AUTO_TEST_CASE(comparison_measures_both_paths) {
  net::Loop loop;
  FakeScheduler scheduler(loop, {});
  fakes::FakeEngine engine(loop, net::ParseAddress("127.0.0.1:0"), {});
  LoadOptions options;
  options.entries = {scheduler.address()};
  options.organisation_keys = {"key"};
  options.programs = 10;
  options.rate = 200;
  options.run_id = "run";
  options.direct = engine.address();
  net::HttpClient client(loop, {});
  EntryDirectory directory(loop, client, options.entries, "key", 1);
  Report report;
  FirstTokenComparison comparison({loop, client, directory, options, report},
                                  [&loop] { loop.Stop(); });
  directory.Start([&comparison] { comparison.Start(); });
  const net::Timer time_limit_timer =
      loop.After(std::chrono::seconds(60), [&loop] { loop.Stop(); });
  loop.Run();
  std::ostringstream out;
  comparison.Print(out);
  BOOST_TEST(out.str().find("direct_calls 10 count\n") != std::string::npos);
  BOOST_TEST(out.str().find("entries_calls 10 count\n") != std::string::npos);
  BOOST_TEST(out.str().find("calls_without_answer 0 count\n") != std::string::npos);
  BOOST_TEST(out.str().find("first_token_added_p99 ") != std::string::npos);
  BOOST_TEST(report.correct());
}

}  // namespace acaciaspring::load
