#include "src/gateway/crash_evidence.h"

#include <boost/test/unit_test.hpp>

namespace acaciaspring::gateway {

namespace {

constexpr MonotonicTime kStart{std::chrono::seconds(1000)};
constexpr RequestFingerprint kDeadly{100};
constexpr RequestFingerprint kOther{200};
constexpr RequestFingerprint kAlike{400};
constexpr RequestFingerprint kInstruction{500};

MonotonicTime After(int seconds) {
  return kStart + std::chrono::seconds(seconds);
}

struct Fixture {
  /// @brief Reports the crash of run `number` with unanswered requests.
  void Crash(int number, const std::vector<RequestFingerprint>& requests, int at_second = 0) {
    CrashReport report{.endpoint = EndpointId("e" + std::to_string(number)), .started_at_ms = 1};
    for (const RequestFingerprint request : requests) {
      report.requests.push_back({.request = request, .unanswered = true});
    }
    evidence.Add(report, After(at_second));
  }
  bool IsQuarantined(RequestFingerprint request, int at_second = 0) const {
    return evidence.Find({.whole = request}, After(at_second)).has_value();
  }

  CrashEvidence evidence;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(crash_evidence, Fixture)

// Guards against a request that crashes a fourth endpoint, and against a request that is refused
// after fewer crashes.
BOOST_AUTO_TEST_CASE(third_crash_quarantines) {
  Crash(1, {kDeadly});
  Crash(2, {kDeadly});
  BOOST_TEST(!IsQuarantined(kDeadly));
  Crash(3, {kDeadly});
  BOOST_TEST(IsQuarantined(kDeadly));
  BOOST_TEST(evidence.Find({.whole = kDeadly}, kStart)->crashes == 3U);
}

// Guards against one crash that counts several times, because several daemons had requests there.
BOOST_AUTO_TEST_CASE(reports_of_one_crash_count_once) {
  for (int report = 0; report < 5; ++report) {
    Crash(1, {kDeadly});
  }
  BOOST_TEST(!IsQuarantined(kDeadly));
  // A new run of the endpoint under the same id is another endpoint.
  evidence.Add(
      {.endpoint = EndpointId("e1"), .started_at_ms = 2, .requests = {{.request = kDeadly}}},
      kStart);
  Crash(2, {kDeadly});
  BOOST_TEST(IsQuarantined(kDeadly));
}

// Guards against innocent requests that are refused because they were lost beside deadly ones.
BOOST_AUTO_TEST_CASE(crashes_that_are_explained_do_not_count) {
  constexpr RequestFingerprint kSecond{300};
  Crash(1, {kDeadly, kOther});
  Crash(2, {kDeadly});
  Crash(3, {kDeadly});
  Crash(4, {kSecond, kOther});
  Crash(5, {kSecond});
  Crash(6, {kSecond});
  Crash(7, {kDeadly, kOther});
  BOOST_TEST(IsQuarantined(kDeadly));
  BOOST_TEST(IsQuarantined(kSecond));
  BOOST_TEST(!IsQuarantined(kOther));
}

// Guards against requests that are refused because they were lost by chance in some of many
// crashes, while endpoints crash by themselves.
BOOST_AUTO_TEST_CASE(few_of_many_crashes_are_chance) {
  for (int number = 0; number < 9; ++number) {
    const RequestFingerprint other(static_cast<std::uint64_t>(1000 + number));
    Crash(number, number % 4 == 0 ? std::vector{kOther, other} : std::vector{other}, number);
  }
  BOOST_TEST(!IsQuarantined(kOther));
  // Two requests that crash endpoints in turn explain them.
  for (int number = 20; number < 26; ++number) {
    Crash(number, {number % 2 == 0 ? kDeadly : RequestFingerprint(300)}, number);
  }
  BOOST_TEST(IsQuarantined(kDeadly, 26));
  BOOST_TEST(IsQuarantined(RequestFingerprint(300), 26));
}

// Guards against a request that crashes endpoints without end beside many other crashes.
BOOST_AUTO_TEST_CASE(fifth_crash_quarantines_in_any_case) {
  for (int number = 0; number < 20; ++number) {
    const RequestFingerprint other(static_cast<std::uint64_t>(1000 + number));
    Crash(number, number % 4 == 0 ? std::vector{kDeadly, other} : std::vector{other}, number);
    BOOST_TEST(IsQuarantined(kDeadly, number) == (number >= 16));
  }
}

// Guards against the wrong one of two requests that were lost together, and against one that stays
// refused after a further crash shows the right one.
BOOST_AUTO_TEST_CASE(unanswered_request_is_the_likelier_cause) {
  for (int number = 1; number <= 3; ++number) {
    evidence.Add({.endpoint = EndpointId("e" + std::to_string(number)),
                  .started_at_ms = 1,
                  .requests = {{.request = kOther, .unanswered = number > 1},
                               {.request = kDeadly, .unanswered = true}}},
                 kStart);
  }
  BOOST_TEST(IsQuarantined(kDeadly));
  BOOST_TEST(!IsQuarantined(kOther));
  Crash(4, {kOther});
  BOOST_TEST(IsQuarantined(kOther));
  BOOST_TEST(!IsQuarantined(kDeadly));
}

// Guards against a conversation that crashes endpoints and comes again with a longer history each
// time, and against other conversations that continue it and are refused although they complete.
BOOST_AUTO_TEST_CASE(longer_forms_of_a_request_are_one_suspect) {
  const auto crash = [this](int number) {
    evidence.Add({.endpoint = EndpointId("e" + std::to_string(number)),
                  .started_at_ms = 1,
                  .requests = {{.request = RequestFingerprint(static_cast<std::uint64_t>(number))},
                               {.request = kAlike, .whole = false}}},
                 kStart);
  };
  crash(1);
  crash(2);
  // Another longer form completes.
  evidence.Clear(kAlike);
  crash(3);
  BOOST_TEST(!evidence.HasQuarantine());
  crash(4);
  crash(5);
  BOOST_TEST(
      evidence.Find({.whole = RequestFingerprint(99), .shorter = {{.request = kAlike}}}, kStart)
          .has_value());
}

// Guards against requests that are refused because they continue the same one as a request that is
// quarantined itself.
BOOST_AUTO_TEST_CASE(whole_request_is_preferred) {
  for (int number = 1; number <= 3; ++number) {
    evidence.Add({.endpoint = EndpointId("e" + std::to_string(number)),
                  .started_at_ms = 1,
                  .requests = {{.request = kDeadly}, {.request = kOther, .whole = false}}},
                 kStart);
  }
  BOOST_TEST(IsQuarantined(kDeadly));
  BOOST_TEST(
      !evidence.Find({.whole = RequestFingerprint(99), .shorter = {{.request = kOther}}}, kStart));
}

// Guards against requests that are refused because several endpoints, of a zone that fails or of a
// host, crashed at the same moment while they ran them.
BOOST_AUTO_TEST_CASE(attempts_that_ran_at_the_same_time_count_once) {
  const auto crash = [this](int number, int at_second, int running_s) {
    evidence.Add({.endpoint = EndpointId("e" + std::to_string(number)),
                  .started_at_ms = 1,
                  .requests = {{.request = kOther,
                                .running_us = Duration(std::chrono::seconds(running_s)).count()}}},
                 After(at_second));
  };
  for (int number = 1; number <= 8; ++number) {
    crash(number, 10, 3);
  }
  // An attempt that was under way when the others were lost.
  crash(9, 11, 2);
  BOOST_TEST(!evidence.HasQuarantine());
  crash(10, 13, 2);
  BOOST_TEST(!evidence.HasQuarantine());
  crash(11, 16, 1);
  BOOST_TEST(IsQuarantined(kOther, 16));
}

// Guards against shorter forms of a request that are not looked for, and against a search that
// grows with the number of requests that start alike.
BOOST_AUTO_TEST_CASE(sizes_of_shorter_forms_are_known_by_start) {
  const auto lose = [this](int run, RequestFingerprint request, std::uint64_t bytes) {
    evidence.Add({.endpoint = EndpointId("e" + std::to_string(run)),
                  .started_at_ms = 1,
                  .requests = {{.request = request, .start = kInstruction, .body_bytes = bytes}}},
                 kStart);
  };
  lose(1, kDeadly, 700);
  lose(1, kOther, 900);
  lose(1, kAlike, kStartBytes);
  BOOST_TEST((evidence.LostSizes(kInstruction) == std::vector<std::uint64_t>{700, 900}));
  BOOST_TEST(evidence.LostSizes(kOther).empty());
  BOOST_TEST(evidence.RepeatedSizes(kInstruction).empty());
  lose(2, kDeadly, 700);
  BOOST_TEST((evidence.RepeatedSizes(kInstruction) == std::vector<std::uint64_t>{700}));
  evidence.Clear(kDeadly);
  BOOST_TEST((evidence.LostSizes(kInstruction) == std::vector<std::uint64_t>{900}));
  BOOST_TEST(evidence.RepeatedSizes(kInstruction).empty());
  for (int i = 0; i < 1000; ++i) {
    const auto number = static_cast<std::uint64_t>(i);
    lose(10 + i / 100, RequestFingerprint(1000 + number), 1000 + number);
    lose(30 + i / 100, RequestFingerprint(1000 + number), 1000 + number);
  }
  BOOST_TEST(evidence.LostSizes(kInstruction).size() == 32U);
  BOOST_TEST(evidence.RepeatedSizes(kInstruction).size() == 32U);
  evidence.Expire(After(300));
  BOOST_TEST(evidence.RepeatedSizes(kInstruction).empty());
}

// Guards against requests that stay under suspicion although they have been executed.
BOOST_AUTO_TEST_CASE(completed_request_is_cleared) {
  Crash(1, {kOther});
  Crash(2, {kOther});
  BOOST_TEST(evidence.Clear(kOther));
  Crash(3, {kOther});
  BOOST_TEST(!IsQuarantined(kOther));
  BOOST_TEST(!evidence.Clear(kDeadly));
}

// Guards against requests that are refused forever.
BOOST_AUTO_TEST_CASE(quarantine_ends) {
  for (int number = 1; number <= 3; ++number) {
    Crash(number, {kDeadly}, number);
  }
  BOOST_TEST(IsQuarantined(kDeadly, 299));
  BOOST_TEST((evidence.Find({.whole = kDeadly}, After(3))->remaining == std::chrono::minutes(5)));
  BOOST_TEST(!IsQuarantined(kDeadly, 303));
  evidence.Expire(After(303));
  BOOST_TEST(evidence.empty());
}

// Guards against memory that grows with the number of crashes or of requests on one endpoint.
BOOST_AUTO_TEST_CASE(evidence_is_bounded) {
  std::vector<RequestFingerprint> many;
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    many.emplace_back(1000 + i);
  }
  Crash(0, many);
  BOOST_TEST(!IsQuarantined(RequestFingerprint(1000)));
  for (int number = 1; number <= 1000; ++number) {
    Crash(number, {RequestFingerprint(static_cast<std::uint64_t>(50'000 + number))}, number / 10);
  }
  BOOST_TEST(!evidence.HasCrash(EndpointId("e0"), 1));
  BOOST_TEST(!evidence.HasCrash(EndpointId("e500"), 1));
  BOOST_TEST(evidence.HasCrash(EndpointId("e1000"), 1));
}

// Guards against a daemon that restarts and lets through what its peers refuse.
BOOST_AUTO_TEST_CASE(new_daemon_learns_from_reports) {
  for (int number = 1; number <= 3; ++number) {
    Crash(number, {kDeadly, RequestFingerprint(static_cast<std::uint64_t>(number))}, number);
  }
  CrashEvidence restarted;
  std::size_t requests = 0;
  for (const CrashReport& report : evidence.MakeReports(After(10))) {
    requests += report.requests.size();
    restarted.Add(report, After(10));
  }
  BOOST_TEST(restarted.Find({.whole = kDeadly}, After(10)).has_value());
  // Requests with a single crash are not worth a message.
  BOOST_TEST(requests == 3U);
  BOOST_TEST((restarted.Find({.whole = kDeadly}, After(10))->remaining ==
              evidence.Find({.whole = kDeadly}, After(10))->remaining));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace acaciaspring::gateway
