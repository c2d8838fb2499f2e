#include <boost/test/unit_test.hpp>
#include <sstream>

#include "acaciaspring/ctl.h"

namespace acaciaspring::ctl {

namespace {

const std::vector<std::string> kLines = {
    R"(25.1 front-1 {"time_ms":5000,"event":"request","id":"r","route":"x","status":200,"outcome":"aborted:timeout","total_ms":2000})",
    R"({"time_ms":4999,"event":"turn","id":"r","partition":24,"outcome":"timeout","total_ms":1990})",
    R"({"time_ms":2500,"event":"store_lost","address":"a"})",
    R"({"time_ms":2600,"event":"partition","partition":24,"epoch":8,"state":"lost"})",
    R"({"time_ms":2600,"event":"partition","partition":25,"epoch":8,"state":"lost"})",
    R"({"time_ms":4000,"event":"request","id":"other","outcome":"answered","total_ms":1})",
    "not a log line"};

}  // namespace

BOOST_AUTO_TEST_SUITE(explain)

// Guards against an explanation without the loss of the store and of the partition. Those events
// carry no request id but are the reason why the record of the turn was not acknowledged.
BOOST_AUTO_TEST_CASE(lines_are_in_order_and_name_the_cause) {
  std::ostringstream out;
  BOOST_TEST((ExplainRequest("r", kLines, out) == ExitCode::kOk));
  const std::string text = out.str();
  const auto lost = text.find("store_lost");
  const auto turn = text.find("  turn");
  BOOST_TEST(lost != std::string::npos);
  BOOST_TEST(lost < turn);
  BOOST_TEST(turn < text.find("  request"));
  BOOST_TEST(text.find("partition=24") != std::string::npos);
  BOOST_TEST(text.find("partition=25") == std::string::npos);
  BOOST_TEST(text.find("other") == std::string::npos);
  BOOST_TEST(text.find("cause: the deadline passed") != std::string::npos);
}

// Guards against a refusal whose cause, the word of an endpoint in the response to a different
// request, is missing.
BOOST_AUTO_TEST_CASE(endpoints_that_leave_are_named) {
  std::ostringstream out;
  BOOST_TEST(
      (ExplainRequest("r",
                      {R"({"time_ms":4000,"event":"endpoint_leaves","endpoint":"e","id":"x"})",
                       R"({"time_ms":5000,"event":"request","id":"r","status":503,)"
                       R"("outcome":"refused:endpoints_leave","total_ms":1})"},
                      out) == ExitCode::kOk));
  BOOST_TEST(out.str().find("endpoint_leaves  endpoint=\"e\"") != std::string::npos);
  BOOST_TEST(out.str().find("cause: every registered endpoint") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(unknown_request_is_an_error) {
  std::ostringstream out;
  BOOST_TEST((ExplainRequest("nobody", kLines, out) == ExitCode::kFailed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::ctl
