#include "src/bench/simulation.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <queue>

#include "src/bench/dispatcher.h"
#include "src/bench/home_router.h"
#include "src/bench/recorder.h"

namespace acaciaspring::bench {
namespace {

constexpr int kMaxRetries = 3;

enum class EventType : std::uint8_t {
  kStartTurn,
  kEndStep,
  kSampleLoad,
  kDeliverReport,
  kEngineFailure,
  kFailureDetected
};

struct Event {
  double at = 0;
  std::uint64_t sequence = 0;
  EventType type = EventType::kStartTurn;
  std::size_t target = 0;
  bool operator>(const Event& other) const {
    return at != other.at ? at > other.at : sequence > other.sequence;
  }
};

/// A load sample of an engine with the cache events since the previous sample. The homes receive it
/// after the report lag.
struct EngineReport {
  std::size_t engine = 0;
  LoadReport load;
  /// Calls in flight on the engine at the time of the sample, by home.
  std::vector<std::uint32_t> in_flight_by_home;
  std::vector<CacheEvent> events;
};

class Simulation {
 public:
  Simulation(const Deployment& deployment, const Strategy& strategy, const RunOptions& options)
      : deployment_(deployment),
        strategy_(strategy),
        options_(options),
        random_(options.seed),
        recorder_(deployment, options_.horizon) {
    const auto engines = static_cast<std::size_t>(deployment.endpoints);
    for (std::size_t i = 0; i < engines; ++i) {
      dispatchers_.push_back(std::make_unique<Dispatcher>(deployment, strategy_, options.engine));
      Schedule(options.report_interval_s * static_cast<double>(i) / static_cast<double>(engines),
               EventType::kSampleLoad, i);
    }
    for (std::size_t i = 0; i < static_cast<std::size_t>(options.homes); ++i) {
      routers_.emplace_back(strategy_, i, engines, options.engine, options.seed);
      pause_policies_.emplace_back();
      expected_outputs_.emplace_back(deployment.classes.size(), 128.0);
    }
    reported_kv_.resize(engines);
  }

  void Add(ProgramSpec spec) {
    const std::size_t index = programs_.size();
    Program program;
    program.home = index % routers_.size();
    program.history_tokens = spec.shared_tokens;
    program.spec = std::move(spec);
    Schedule(program.spec.start_s, EventType::kStartTurn, index);
    programs_.push_back(std::move(program));
  }

  /// Starts a new program of class 0 whenever one ends, and leaves out the pauses between turns.
  void EnableClosedLoop() { closed_loop_ = true; }

  RunResult Run() {
    if (options_.workload == Workload::kEndpointLoss) {
      Schedule(options_.horizon.warm_up_s + options_.horizon.measured_s / 4,
               EventType::kEngineFailure, 0);
    }
    while (!event_queue_.empty() && event_queue_.top().at <= options_.horizon.end()) {
      const Event event = event_queue_.top();
      event_queue_.pop();
      now_ = event.at;
      Handle(event);
    }
    for (const auto& dispatcher : dispatchers_) {
      recorder_.AddDispatcher(*dispatcher);
    }
    return recorder_.Finish(programs_, now_);
  }

 private:
  void Schedule(double at, EventType type, std::size_t target) {
    event_queue_.push(
        {.at = at, .sequence = ++last_event_sequence_, .type = type, .target = target});
  }

  void Handle(const Event& event) {
    switch (event.type) {
      case EventType::kStartTurn:
        return StartTurn(event.target);
      case EventType::kEndStep:
        return EndStep(event.target);
      case EventType::kSampleLoad:
        return SampleLoad(event.target);
      case EventType::kDeliverReport:
        return DeliverReport();
      case EventType::kEngineFailure:
        return FailEngines();
      case EventType::kFailureDetected:
        for (HomeRouter& router : routers_) {
          router.OnEngineFailed(event.target);
        }
        return;
    }
  }

  void StartTurn(std::size_t index) {
    Program& program = programs_[index];
    const Turn& turn = program.spec.turns[program.turn];
    const std::uint32_t prompt = program.history_tokens + turn.new_tokens;
    if (program.turn == 0 && program.retries == 0) {
      recorder_.OnOffered(program);
    }
    // The upper bits of a call id are the index of the program.
    program.call = (static_cast<std::uint64_t>(index) << 20U) | (++call_attempts_ & 0xfffffU);
    program.description = {
        .call = program.call,
        .program_prefix = PrefixOfProgram(program.spec.id),
        .shared_prefix = program.spec.shared_prefix,
        .shared_tokens = program.spec.shared_tokens,
        .prompt = prompt,
        .rank = deployment_.classes[program.spec.priority_class].policy.rank,
        .expected_output = expected_outputs_[program.home][program.spec.priority_class]};
    HomeRouter& router = routers_[program.home];
    const auto placement = router.Choose(program.description, now_);
    if (!placement) {
      return Retry(index, 1);
    }
    program.engine = placement->engine;
    program.enqueued_s = now_;
    program.started_s = -1;
    Dispatcher& dispatcher = *dispatchers_[program.engine];
    if (dispatcher.failed) {
      return Schedule(now_ + options_.detection_s, EventType::kStartTurn, index);
    }
    if (const auto refusal = dispatcher.Submit(MakeSubmission(program, *placement), now_)) {
      recorder_.OnRefused(program);
      return Retry(index, 1e-3 * refusal->retry_after_ms);
    }
    router.OnStarted(program.description, *placement, now_);
    StartStep(program.engine);
  }

  Submission MakeSubmission(const Program& program, const Placement& placement) const {
    const ClassSpec& spec = deployment_.classes[program.spec.priority_class];
    const std::uint32_t prompt = program.description.prompt;
    Submission submission;
    QueuedCall& call = submission.call;
    call.id = QueuedCallId(program.call);
    call.organisation = OrganisationId(std::to_string(program.spec.organisation));
    call.program = program.spec.id;
    call.root_program = program.spec.id;
    call.priority_class = spec.policy.id;
    call.attained_service = TokenCount(program.attained_service);
    call.expected_prompt = TokenCount(prompt - std::min(prompt, placement.expected_cached));
    call.expected_output =
        TokenCount(static_cast<std::uint64_t>(program.description.expected_output));
    call.enqueued_at = ToMonotonicTime(now_);
    // The baselines ignore priority classes, also in the prefill of the engine.
    const bool uses_ranks = strategy_.router == Router::kPolicy && strategy_.order_by_class;
    submission.stream.call = program.call;
    submission.stream.rank = uses_ranks ? spec.policy.rank : 0;
    submission.stream.program_prefix = program.description.program_prefix;
    submission.stream.shared_prefix = program.spec.shared_prefix;
    submission.stream.shared_tokens = program.spec.shared_tokens;
    submission.stream.prompt = prompt;
    submission.stream.output = program.spec.turns[program.turn].output;
    submission.stream.exported_tokens = program.exported_tokens;
    return submission;
  }

  void Retry(std::size_t index, double after_s) {
    Program& program = programs_[index];
    if (++program.retries > kMaxRetries) {
      program.ended = true;
      recorder_.OnGivenUp(program);
      return;
    }
    Schedule(now_ + after_s, EventType::kStartTurn, index);
  }

  /// Starts the next step of an engine unless a step is in progress.
  void StartStep(std::size_t index) {
    Dispatcher& dispatcher = *dispatchers_[index];
    if (dispatcher.step_in_progress || dispatcher.failed) {
      return;
    }
    dispatcher.FillSlots(now_);
    if (dispatcher.engine.idle()) {
      return;
    }
    dispatcher.step = {};
    const double duration = dispatcher.engine.BeginStep(dispatcher.step);
    for (const std::uint64_t call : dispatcher.step.started) {
      Program& program = programs_[call >> 20U];
      if (program.started_s < 0) {
        program.started_s = now_;
        recorder_.OnStarted(program, now_);
      }
    }
    dispatcher.step_in_progress = true;
    Schedule(now_ + duration, EventType::kEndStep, index);
  }

  void EndStep(std::size_t index) {
    Dispatcher& dispatcher = *dispatchers_[index];
    if (dispatcher.failed) {
      return;
    }
    dispatcher.step_in_progress = false;
    dispatcher.engine.FinishStep(now_, dispatcher.step);
    for (const std::uint64_t call : dispatcher.step.first_tokens) {
      routers_[programs_[call >> 20U].home].OnFirstToken(call, now_);
    }
    for (const Stream& stream : dispatcher.step.ended) {
      Program& program = programs_[stream.call >> 20U];
      dispatcher.OnEnded(stream, now_ - program.started_s);
      EndTurn(stream);
    }
    StartStep(index);
  }

  void EndTurn(const Stream& stream) {
    const std::size_t index = stream.call >> 20U;
    Program& program = programs_[index];
    const std::uint32_t context_tokens = stream.prompt + stream.output;
    routers_[program.home].OnFinished(program.description, program.engine, context_tokens, now_);
    double& output = expected_outputs_[program.home][program.spec.priority_class];
    output += 0.05 * (stream.output - output);
    recorder_.OnPrefilled(program, stream, now_);
    const std::uint32_t uncached = stream.prompt - std::min(stream.prompt, stream.cached);
    program.attained_service += uncached + stream.output;
    program.history_tokens = context_tokens;
    program.computed_tokens = context_tokens;
    program.exported_tokens = 0;
    program.retries = 0;
    const Turn& turn = program.spec.turns[program.turn];
    recorder_.OnTurnServed(program, uncached, now_);
    if (++program.turn == program.spec.turns.size()) {
      return EndProgram(program);
    }
    const bool pause_is_user_time =
        deployment_.classes[program.spec.priority_class].pause_is_user_time;
    const double pause = closed_loop_ ? 0 : turn.pause_s;
    program.user_pause_s += pause_is_user_time ? pause : 0;
    DecidePause(program, pause);
    Schedule(now_ + pause, EventType::kStartTurn, index);
  }

  void EndProgram(Program& program) {
    program.ended = true;
    recorder_.OnEnded(program, now_);
    if (closed_loop_) {
      ProgramSpec spec = DrawProgram(deployment_, 0, programs_.size(), random_);
      spec.start_s = now_;
      Add(std::move(spec));
    }
  }

  void DecidePause(Program& program, double pause_s) {
    if (strategy_.router != Router::kPolicy || !strategy_.pause_policy) {
      return;
    }
    PausePolicy& policy = pause_policies_[program.home];
    const ServiceId tool(deployment_.classes[program.spec.priority_class].policy.id.value());
    Engine& engine = dispatchers_[program.engine]->engine;
    const EngineOptions& options = engine.options();
    const PauseDecision decision =
        policy.Decide({.tool = tool,
                       .cached = TokenCount(program.history_tokens - program.spec.shared_tokens),
                       .kv_used = TokenCount(reported_kv_[program.engine]),
                       .kv_capacity = TokenCount(options.kv_capacity),
                       .prefill_tokens_per_second = options.prefill_tokens_per_second,
                       .export_tokens_per_second = options.export_tokens_per_second,
                       .import_tokens_per_second = options.export_tokens_per_second});
    switch (decision.action) {
      case PauseAction::kKeep:
        engine.Hold(program.description.program_prefix,
                    now_ + std::chrono::duration<double>(decision.release_after).count());
        break;
      case PauseAction::kExport:
        engine.Drop(program.description.program_prefix, now_);
        program.exported_tokens = program.history_tokens;
        break;
      case PauseAction::kDrop:
        engine.Drop(program.description.program_prefix, now_);
        break;
    }
    policy.OnPauseEnded(
        tool, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause_s)));
  }

  void SampleLoad(std::size_t index) {
    Dispatcher& dispatcher = *dispatchers_[index];
    if (dispatcher.failed) {
      return;
    }
    EngineReport report{.engine = index,
                        .load = {.running = dispatcher.engine.running(),
                                 .waiting = static_cast<std::uint32_t>(dispatcher.waiting()),
                                 .yielding_by_rank = dispatcher.YieldingByRank(),
                                 .kv_used = TokenCount(dispatcher.engine.kv_used()),
                                 .kv_capacity = TokenCount(dispatcher.engine.options().kv_capacity),
                                 .sampled_at = ToMonotonicTime(now_)},
                        .in_flight_by_home = {},
                        .events = dispatcher.engine.TakeEvents()};
    for (const HomeRouter& router : routers_) {
      report.in_flight_by_home.push_back(router.in_flight(index));
    }
    std::erase_if(report.events, [&](const CacheEvent&) {
      return std::uniform_real_distribution<double>(0, 1)(random_) < options_.event_loss;
    });
    undelivered_reports_.push_back(std::move(report));
    Schedule(now_ + options_.report_lag_s, EventType::kDeliverReport, 0);
    Schedule(now_ + options_.report_interval_s, EventType::kSampleLoad, index);
  }

  void DeliverReport() {
    const EngineReport report = std::move(undelivered_reports_.front());
    undelivered_reports_.pop_front();
    reported_kv_[report.engine] = report.load.kv_used.value();
    for (std::size_t home = 0; home < routers_.size(); ++home) {
      routers_[home].OnLoad(report.engine, report.load, report.in_flight_by_home[home]);
      for (const CacheEvent& event : report.events) {
        routers_[home].OnCacheEvent(report.engine, event, now_);
      }
    }
  }

  void FailEngines() {
    for (std::size_t i = 0; i < dispatchers_.size() / 3; ++i) {
      for (const std::uint64_t call : dispatchers_[i]->Fail()) {
        Program& program = programs_[call >> 20U];
        routers_[program.home].OnFinished(program.description, i, 0, now_);
        Schedule(now_ + options_.detection_s, EventType::kStartTurn, call >> 20U);
      }
      Schedule(now_ + options_.detection_s / 2, EventType::kFailureDetected, i);
    }
  }

  const Deployment& deployment_;
  const Strategy strategy_;
  const RunOptions options_;
  std::mt19937_64 random_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> event_queue_;
  /// Sequence number of the last event; events at the same time are handled in this order.
  std::uint64_t last_event_sequence_ = 0;
  std::uint64_t call_attempts_ = 0;
  double now_ = 0;
  bool closed_loop_ = false;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers_;
  std::deque<HomeRouter> routers_;
  /// By home.
  std::vector<PausePolicy> pause_policies_;
  /// Moving average of the output tokens per call, by home and class.
  std::vector<std::vector<double>> expected_outputs_;
  std::deque<Program> programs_;
  std::deque<EngineReport> undelivered_reports_;
  /// KV memory in use by the last delivered report, by engine.
  std::vector<std::uint64_t> reported_kv_;
  Recorder recorder_;
};

}  // namespace

RunResult Simulate(const Deployment& deployment,
                   const Strategy& strategy,
                   const std::vector<ProgramSpec>& programs,
                   const RunOptions& options) {
  Simulation simulation(deployment, strategy, options);
  for (const ProgramSpec& program : programs) {
    simulation.Add(program);
  }
  return simulation.Run();
}

double MeasureCapacity(const Deployment& deployment,
                       const Strategy& strategy,
                       std::size_t priority_class,
                       std::uint64_t seed) {
  Deployment single_class = deployment;
  single_class.classes = {deployment.classes[priority_class]};
  RunOptions options;
  options.seed = seed;
  options.horizon = {.warm_up_s = 300, .measured_s = 600, .drain_s = 0};
  Simulation simulation(single_class, strategy, options);
  std::mt19937_64 random(seed);
  simulation.EnableClosedLoop();
  const auto slots = static_cast<std::uint64_t>(single_class.endpoints) * EngineOptions().slots;
  for (std::uint64_t i = 0; i < slots * 3 / 2; ++i) {
    simulation.Add(DrawProgram(single_class, 0, i, random));
  }
  const RunResult result = simulation.Run();
  return static_cast<double>(result.ended_programs) / options.horizon.measured_s;
}

}  // namespace acaciaspring::bench
