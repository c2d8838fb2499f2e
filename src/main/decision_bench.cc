#include <benchmark/benchmark.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "acaciaspring/organisations.h"
#include "acaciaspring/routing.h"
#include "acaciaspring/scheduling.h"
#include "src/gateway/crash_evidence.h"
#include "src/gateway/endpoint_table.h"

namespace acaciaspring {
namespace {

const ServiceId kModel("model");
constexpr std::uint64_t kPrograms = 20'000;
constexpr std::uint64_t kOrganisations = 330;

MonotonicTime At(std::uint64_t us) {
  return MonotonicTime(Duration(static_cast<Duration::rep>(us)));
}

EndpointId Endpoint(std::uint64_t number) {
  return EndpointId("engine-" + std::to_string(number));
}

// Time to choose an endpoint for one call, including the updates at its start and end.
void ChooseEndpoint(benchmark::State& state) {
  const auto endpoints = static_cast<std::uint64_t>(state.range(0));
  EndpointChooser chooser;
  std::mt19937_64 random(1);
  for (std::uint64_t i = 0; i < endpoints; ++i) {
    chooser.SetEndpoint({.id = Endpoint(i),
                         .zone = AvailabilityZone("zone" + std::to_string(i % 5)),
                         .services = {kModel},
                         .speed = {.prefill_tokens_per_second = 8000,
                                   .token_interval = std::chrono::milliseconds(20),
                                   .token_interval_per_stream = std::chrono::milliseconds(1),
                                   .concurrency = 16}});
  }
  for (std::uint64_t i = 0; i < kPrograms; ++i) {
    for (int copy = 0; copy < 4; ++copy) {
      chooser.cache().OnCompletion(Endpoint(random() % endpoints), PrefixId(i), TokenCount(5000),
                                   At(0));
    }
  }
  std::uint64_t now = 0;
  for ([[maybe_unused]] auto unused : state) {
    ++now;
    const RoutingRequest request{.service = kModel,
                                 .zone = AvailabilityZone("zone1"),
                                 .program_prefix = PrefixId(random() % kPrograms),
                                 .prompt = TokenCount(6000),
                                 .expected_output = TokenCount(150)};
    const auto choice = chooser.Choose(request, At(now), random);
    chooser.OnStarted(InFlightId(now), request, *choice, At(now));
    chooser.OnFinished(InFlightId(now), TokenCount(6150), At(now));
    benchmark::DoNotOptimize(choice);
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(ChooseEndpoint)->Arg(12)->Arg(50)->Arg(150)->Arg(300)->Arg(610)->Complexity();

// Time of the gateway to choose one of 130 engines, of which the given percentage names a rate
// limit.
void ChooseWithRateLimits(benchmark::State& state) {
  constexpr std::uint64_t kEngines = 130;
  gateway::EndpointTable table{AvailabilityZone("zone1")};
  std::vector<gateway::RegisteredEndpoint> endpoints;
  for (std::uint64_t i = 0; i < kEngines; ++i) {
    endpoints.push_back({.id = Endpoint(i),
                         .service = kModel,
                         .address = {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(i)},
                         .zone = AvailabilityZone("zone" + std::to_string(i % 5)),
                         .slots = 24});
  }
  table.SetEndpoints(endpoints);
  table.SetEngineMemory(kModel, TokenCount(600'000));
  const auto limited = kEngines * static_cast<std::uint64_t>(state.range(0)) / 100;
  for (std::uint64_t i = 0; i < limited; ++i) {
    table.OnRateLimit(Endpoint(i), 4.0, At(0));
  }
  std::mt19937_64 random(1);
  std::uint64_t now = 0;
  for ([[maybe_unused]] auto unused : state) {
    ++now;
    const auto* chosen = table.Choose({.service = kModel}, At(now), random);
    table.OnStarted(chosen->id, At(now));
    table.OnFinished(chosen->id, gateway::AttemptResult::kSucceeded, At(now));
    benchmark::DoNotOptimize(chosen);
  }
}
BENCHMARK(ChooseWithRateLimits)->Arg(0)->Arg(10)->Arg(70);

// Time to fingerprint a request with a body of the given size and to look it up.
void CheckQuarantine(benchmark::State& state) {
  const std::string body(static_cast<std::size_t>(state.range(0)), 'x');
  gateway::CrashEvidence evidence;
  for (std::uint64_t run = 0; run < 3; ++run) {
    evidence.Add({.endpoint = Endpoint(run), .requests = {{.request = {}}}}, At(0));
  }
  for ([[maybe_unused]] auto unused : state) {
    const auto fingerprints = gateway::MakeFingerprints(
        "key", {.method = "POST", .host = "host", .target = "/", .body = body});
    benchmark::DoNotOptimize(evidence.Find(fingerprints, At(1)));
  }
}
BENCHMARK(CheckQuarantine)->Arg(0)->Arg(17'000);

// Time to add a report to full evidence: many endpoints crash, and each loses other requests.
void AddCrashReport(benchmark::State& state) {
  constexpr std::uint64_t kRequests = 20;
  gateway::CrashEvidence evidence;
  std::uint64_t run = 0;
  for ([[maybe_unused]] auto unused : state) {
    ++run;
    gateway::CrashReport report{.endpoint = Endpoint(run)};
    for (std::uint64_t i = 0; i < kRequests; ++i) {
      report.requests.push_back(
          {.request = gateway::RequestFingerprint(run * kRequests + i), .unanswered = true});
    }
    evidence.Add(report, At(run));
  }
}
BENCHMARK(AddCrashReport);

QueuedCall RandomCall(std::uint64_t id, std::mt19937_64& random) {
  static const std::vector<PriorityClassId> kClasses{
      PriorityClassId("urgent"), PriorityClassId("normal"), PriorityClassId("batch")};
  QueuedCall call;
  call.id = QueuedCallId(id);
  call.organisation = OrganisationId("organisation-" + std::to_string(random() % kOrganisations));
  call.program = ProgramId("program-" + std::to_string(random() % kPrograms));
  call.root_program = call.program;
  call.priority_class = kClasses[random() % kClasses.size()];
  call.attained_service = TokenCount(random() % 300'000);
  call.expected_prompt = TokenCount(random() % 20'000);
  call.expected_output = TokenCount(random() % 1000);
  call.enqueued_at = At(id);
  call.deadline = At(id + 3'600'000'000);
  return call;
}

EndpointQueue FilledQueue(std::uint64_t calls, std::mt19937_64& random) {
  EndpointQueueOptions options;
  options.classes = {{.id = PriorityClassId("urgent"), .rank = 0},
                     {.id = PriorityClassId("normal"), .rank = 1, .minimum_share = 0.2},
                     {.id = PriorityClassId("batch"), .rank = 2, .minimum_share = 0.1}};
  options.capacity = calls + 1;
  EndpointQueue queue(options);
  for (std::uint64_t i = 0; i < calls; ++i) {
    queue.Push(RandomCall(i, random));
  }
  return queue;
}

// Time to pop the next call and to push another at a constant queue length. The random calls are
// generated outside the timed loop.
void PopAndPush(benchmark::State& state) {
  std::mt19937_64 random(1);
  auto id = static_cast<std::uint64_t>(state.range(0));
  EndpointQueue queue = FilledQueue(id, random);
  std::vector<QueuedCall> random_calls;
  for (int i = 0; i < 4096; ++i) {
    random_calls.push_back(RandomCall(0, random));
  }
  for ([[maybe_unused]] auto unused : state) {
    QueuedCall next = random_calls[++id % random_calls.size()];
    next.id = QueuedCallId(id);
    next.enqueued_at = At(id);
    auto call = queue.Pop(At(id));
    benchmark::DoNotOptimize(call);
    queue.Push(std::move(next));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(PopAndPush)->Arg(100)->Arg(1000)->Arg(3000)->Arg(10'000)->Complexity();

void Admit(benchmark::State& state) {
  std::mt19937_64 random(1);
  const auto calls = static_cast<std::uint64_t>(state.range(0));
  EndpointQueue queue = FilledQueue(calls, random);
  Admission admission;
  const EndpointOccupancy endpoint{
      .running = 16, .concurrency = 16, .cost_per_second = 1000, .mean_call_cost = 500};
  std::vector<QueuedCall> random_calls;
  for (int i = 0; i < 4096; ++i) {
    random_calls.push_back(RandomCall(calls, random));
  }
  std::uint64_t now = 0;
  for ([[maybe_unused]] auto unused : state) {
    ++now;
    auto decision =
        admission.Decide(queue, random_calls[now % random_calls.size()], endpoint, At(now));
    benchmark::DoNotOptimize(decision);
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(Admit)->Arg(100)->Arg(1000)->Arg(3000)->Arg(10'000)->Complexity();

// Worst case of an admission decision: all queued calls belong to one organisation and are so small
// that the scan of the queue reaches its work limit only after thousands of calls.
void AdmitBehindOneOrganisation(benchmark::State& state) {
  std::mt19937_64 random(1);
  const auto calls = static_cast<std::uint64_t>(state.range(0));
  EndpointQueueOptions options;
  options.classes = {{.id = PriorityClassId("urgent"), .rank = 0}};
  EndpointQueue queue(options);
  QueuedCall call = RandomCall(0, random);
  call.priority_class = options.classes[0].id;
  call.expected_prompt = TokenCount(0);
  call.expected_output = TokenCount(1);
  for (std::uint64_t i = 1; i < calls; ++i) {
    call.id = QueuedCallId(i);
    queue.Push(call);
  }
  call.id = QueuedCallId(calls);
  Admission admission;
  const EndpointOccupancy endpoint{
      .running = 16, .concurrency = 16, .cost_per_second = 1000, .mean_call_cost = 500};
  for ([[maybe_unused]] auto unused : state) {
    auto decision = admission.Decide(queue, call, endpoint, At(1));
    benchmark::DoNotOptimize(decision);
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(AdmitBehindOneOrganisation)->Arg(100)->Arg(1000)->Arg(10'000)->Complexity();

void ChoosePausedStream(benchmark::State& state) {
  std::mt19937_64 random(1);
  EndpointQueue queue = FilledQueue(1000, random);
  std::vector<RunningCall> running;
  for (std::uint64_t i = 0; i < static_cast<std::uint64_t>(state.range(0)); ++i) {
    running.push_back({.id = QueuedCallId(i),
                       .priority_class = PriorityClassId(i % 2 == 0 ? "normal" : "batch"),
                       .expected_remaining = TokenCount(100 + i),
                       .pauses = 0,
                       .resumable = true});
  }
  for ([[maybe_unused]] auto unused : state) {
    auto chosen = ChoosePreemption(queue, running);
    benchmark::DoNotOptimize(chosen);
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(ChoosePausedStream)->Arg(16)->Arg(64)->Arg(256)->Complexity();

/// @brief The limits of a daemon that grants the permits of all organisations itself.
std::unique_ptr<organisations::RequestLimits> LimitsOfAll(BootTime now) {
  auto limits = std::make_unique<organisations::RequestLimits>(
      organisations::RequestLimitsOptions{.self = DaemonId("self")});
  std::vector<organisations::Organisation> all;
  for (std::uint64_t i = 0; i < kOrganisations; ++i) {
    all.push_back({.id = OrganisationId("organisation-" + std::to_string(i)),
                   .limit = organisations::RequestLimit{.per_second = 30, .burst = 60}});
  }
  limits->SetOrganisations(all, now);
  limits->SetMembers({DaemonId("self")}, now);
  limits->SetReady({}, true, std::chrono::milliseconds(200));
  limits->Step(now);
  return limits;
}

// Time to take a permit, or to refuse it, at a daemon that is the grantor itself. About half of the
// requests exceed the limits.
void TakePermit(benchmark::State& state) {
  BootTime now(std::chrono::seconds(100));
  const auto limits = LimitsOfAll(now);
  std::vector<OrganisationId> ids;
  for (std::uint64_t i = 0; i < kOrganisations; ++i) {
    ids.emplace_back("organisation-" + std::to_string(i));
  }
  std::uint64_t next = 0;
  for ([[maybe_unused]] auto unused : state) {
    now += std::chrono::microseconds(50);
    auto decision = limits->Acquire(ids[next % kOrganisations], organisations::PermitUse::kOther,
                                    now + std::chrono::seconds(2), now);
    benchmark::DoNotOptimize(decision);
    if (++next % 100 == 0) {
      limits->Step(now);
    }
  }
}
BENCHMARK(TakePermit);

// Time of a grantor to answer one request for permits, by the number of daemons that send them.
void GrantPermits(benchmark::State& state) {
  BootTime now(std::chrono::seconds(100));
  const auto limits = LimitsOfAll(now);
  const auto daemons = static_cast<std::uint64_t>(state.range(0));
  std::uint64_t next = 0;
  for ([[maybe_unused]] auto unused : state) {
    now += std::chrono::microseconds(50);
    const DaemonId holder("daemon-" + std::to_string(next % daemons));
    organisations::PermitRequest request{.session = 1, .to_session = 1, .sent_us = 1};
    request.wants.push_back(
        {.organisation = OrganisationId("organisation-" + std::to_string(next / daemons % 4)),
         .other = 2});
    limits->OnRequest(holder, request, now);
    if (++next % 100 == 0) {
      auto output = limits->Step(now);
      benchmark::DoNotOptimize(output);
    }
  }
}
BENCHMARK(GrantPermits)->Arg(31)->Arg(420);

}  // namespace
}  // namespace acaciaspring

BENCHMARK_MAIN();
