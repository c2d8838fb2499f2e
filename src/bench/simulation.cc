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

enum class EventType : std::uint8_t { kTurn, kStep, kSample, kDeliver, kLoss, kDetection };

struct Event {
  double at = 0;
  std::uint64_t order = 0;
  EventType type = EventType::kTurn;
  std::size_t target = 0;
  bool operator>(const Event& other) const {
    return at != other.at ? at > other.at : order > other.order;
  }
};

/// A load sample with the cache events up to it, on its way to the homes.
struct Report {
  std::size_t engine = 0;
  LoadReport load;
  std::vector<std::uint32_t> own;
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
               EventType::kSample, i);
    }
    for (std::size_t i = 0; i < static_cast<std::size_t>(options.homes); ++i) {
      routers_.emplace_back(strategy_, i, engines, options.engine, options.seed);
      pauses_.emplace_back();
      outputs_.emplace_back(deployment.classes.size(), 128.0);
    }
    reported_kv_.resize(engines);
  }

  void Add(ProgramSpec spec) {
    const std::size_t index = programs_.size();
    Program program;
    program.home = index % routers_.size();
    program.history = spec.shared_tokens;
    program.spec = std::move(spec);
    Schedule(program.spec.start_s, EventType::kTurn, index);
    programs_.push_back(std::move(program));
  }

  /// Starts a new program of class 0 whenever one ends.
  void KeepProgramsInProgress() { closed_ = true; }

  RunResult Run() {
    if (options_.workload == Workload::kEndpointLoss) {
      Schedule(options_.horizon.warm_up_s + options_.horizon.measured_s / 4, EventType::kLoss, 0);
    }
    while (!events_.empty() && events_.top().at <= options_.horizon.end()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      Handle(event);
    }
    for (const auto& dispatcher : dispatchers_) {
      recorder_.Add(*dispatcher);
    }
    return recorder_.Finish(programs_, now_);
  }

 private:
  void Schedule(double at, EventType type, std::size_t target) {
    events_.push({.at = at, .order = ++order_, .type = type, .target = target});
  }

  void Handle(const Event& event) {
    switch (event.type) {
      case EventType::kTurn:
        return StartTurn(event.target);
      case EventType::kStep:
        return EndStep(event.target);
      case EventType::kSample:
        return Sample(event.target);
      case EventType::kDeliver:
        return Deliver();
      case EventType::kLoss:
        return LoseEngines();
      case EventType::kDetection:
        for (HomeRouter& router : routers_) {
          router.OnEngineLost(event.target);
        }
        return;
    }
  }

  void StartTurn(std::size_t index) {
    Program& program = programs_[index];
    const Turn& turn = program.spec.turns[program.turn];
    const std::uint32_t prompt = program.history + turn.new_tokens;
    if (program.turn == 0 && program.retries == 0) {
      recorder_.Offered(program);
    }
    program.call = (static_cast<std::uint64_t>(index) << 20U) | (++attempts_ & 0xfffffU);
    program.description = {.call = program.call,
                           .program = PrefixOfProgram(program.spec.id),
                           .shared = program.spec.shared,
                           .shared_tokens = program.spec.shared_tokens,
                           .prompt = prompt,
                           .rank = deployment_.classes[program.spec.priority_class].policy.rank,
                           .expected_output = outputs_[program.home][program.spec.priority_class]};
    HomeRouter& router = routers_[program.home];
    const auto placement = router.Choose(program.description, now_);
    if (!placement) {
      return Retry(index, 1);
    }
    program.engine = placement->engine;
    program.enqueued_s = now_;
    program.started_s = -1;
    Dispatcher& dispatcher = *dispatchers_[program.engine];
    if (dispatcher.lost) {
      return Schedule(now_ + options_.detection_s, EventType::kTurn, index);
    }
    if (const auto refusal = dispatcher.Submit(MakeSubmission(program, *placement), now_)) {
      recorder_.Refused(program);
      return Retry(index, 1e-3 * refusal->retry_after_ms);
    }
    router.OnStarted(program.description, *placement, now_);
    Advance(program.engine);
  }

  Submission MakeSubmission(const Program& program, const Placement& placement) const {
    const ClassSpec& spec = deployment_.classes[program.spec.priority_class];
    const std::uint32_t prompt = program.description.prompt;
    Submission submission;
    QueuedCall& call = submission.queued;
    call.id = QueuedCallId(program.call);
    call.organisation = OrganisationId(std::to_string(program.spec.organisation));
    call.program = program.spec.id;
    call.root_program = program.spec.id;
    call.priority_class = spec.policy.id;
    call.attained_service = TokenCount(program.attained);
    call.expected_prompt = TokenCount(prompt - std::min(prompt, placement.expected_cached));
    call.expected_output =
        TokenCount(static_cast<std::uint64_t>(program.description.expected_output));
    call.enqueued_at = At(now_);
    // The baselines ignore classes, in the engine's prefill too.
    const bool ranked = strategy_.router == Router::kPolicy && strategy_.order_by_class;
    submission.stream.call = program.call;
    submission.stream.rank = ranked ? spec.policy.rank : 0;
    submission.stream.program = program.description.program;
    submission.stream.shared = program.spec.shared;
    submission.stream.shared_tokens = program.spec.shared_tokens;
    submission.stream.prompt = prompt;
    submission.stream.output = program.spec.turns[program.turn].output;
    submission.stream.exported = program.exported;
    return submission;
  }

  void Retry(std::size_t index, double after_s) {
    Program& program = programs_[index];
    if (++program.retries > kMaxRetries) {
      program.ended = true;
      recorder_.RefusedForGood(program);
      return;
    }
    Schedule(now_ + after_s, EventType::kTurn, index);
  }

  /// Starts the next step of an engine that is between two steps.
  void Advance(std::size_t index) {
    Dispatcher& dispatcher = *dispatchers_[index];
    if (dispatcher.stepping || dispatcher.lost) {
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
        recorder_.Started(program, now_);
      }
    }
    dispatcher.stepping = true;
    Schedule(now_ + duration, EventType::kStep, index);
  }

  void EndStep(std::size_t index) {
    Dispatcher& dispatcher = *dispatchers_[index];
    if (dispatcher.lost) {
      return;
    }
    dispatcher.stepping = false;
    dispatcher.engine.FinishStep(now_, dispatcher.step);
    for (const std::uint64_t call : dispatcher.step.first_tokens) {
      routers_[programs_[call >> 20U].home].OnFirstToken(call, now_);
    }
    for (const Stream& stream : dispatcher.step.ended) {
      Program& program = programs_[stream.call >> 20U];
      dispatcher.OnEnded(stream, now_ - program.started_s);
      EndTurn(stream);
    }
    Advance(index);
  }

  void EndTurn(const Stream& stream) {
    const std::size_t index = stream.call >> 20U;
    Program& program = programs_[index];
    const std::uint32_t whole = stream.prompt + stream.output;
    routers_[program.home].OnFinished(program.description, program.engine, whole, now_);
    double& output = outputs_[program.home][program.spec.priority_class];
    output += 0.05 * (stream.output - output);
    recorder_.Prefilled(program, stream, now_);
    const std::uint32_t uncached = stream.prompt - std::min(stream.prompt, stream.cached);
    program.attained += uncached + stream.output;
    program.history = whole;
    program.computed = whole;
    program.exported = 0;
    program.retries = 0;
    const Turn& turn = program.spec.turns[program.turn];
    recorder_.Served(program, uncached, now_);
    if (++program.turn == program.spec.turns.size()) {
      return EndProgram(program);
    }
    const bool user = deployment_.classes[program.spec.priority_class].pause_is_user;
    const double pause = closed_ ? 0 : turn.pause_s;
    program.think_s += user ? pause : 0;
    DecidePause(program, pause);
    Schedule(now_ + pause, EventType::kTurn, index);
  }

  void EndProgram(Program& program) {
    program.ended = true;
    recorder_.Ended(program, now_);
    if (closed_) {
      ProgramSpec spec = DrawProgram(deployment_, 0, programs_.size(), random_);
      spec.start_s = now_;
      Add(std::move(spec));
    }
  }

  void DecidePause(Program& program, double pause_s) {
    if (strategy_.router != Router::kPolicy || !strategy_.pause_policy) {
      return;
    }
    PausePolicy& policy = pauses_[program.home];
    const ServiceId tool(deployment_.classes[program.spec.priority_class].policy.id.value());
    Engine& engine = dispatchers_[program.engine]->engine;
    const EngineOptions& options = engine.options();
    const PauseDecision decision =
        policy.Decide({.tool = tool,
                       .cached = TokenCount(program.history - program.spec.shared_tokens),
                       .kv_used = TokenCount(reported_kv_[program.engine]),
                       .kv_capacity = TokenCount(options.kv_capacity),
                       .prefill_tokens_per_second = options.prefill_tokens_per_second,
                       .export_tokens_per_second = options.export_tokens_per_second,
                       .import_tokens_per_second = options.export_tokens_per_second});
    switch (decision.action) {
      case PauseAction::kKeep:
        engine.Hold(program.description.program,
                    now_ + std::chrono::duration<double>(decision.release_after).count());
        break;
      case PauseAction::kExport:
        engine.Drop(program.description.program, now_);
        program.exported = program.history;
        break;
      case PauseAction::kDrop:
        engine.Drop(program.description.program, now_);
        break;
    }
    policy.OnPauseEnded(
        tool, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause_s)));
  }

  void Sample(std::size_t index) {
    Dispatcher& dispatcher = *dispatchers_[index];
    if (dispatcher.lost) {
      return;
    }
    Report report{.engine = index,
                  .load = {.running = dispatcher.engine.running(),
                           .waiting = static_cast<std::uint32_t>(dispatcher.waiting()),
                           .yielding_by_rank = dispatcher.YieldingByRank(),
                           .kv_used = TokenCount(dispatcher.engine.kv_used()),
                           .kv_capacity = TokenCount(dispatcher.engine.options().kv_capacity),
                           .sampled_at = At(now_)},
                  .own = {},
                  .events = dispatcher.engine.TakeEvents()};
    for (const HomeRouter& router : routers_) {
      report.own.push_back(router.own(index));
    }
    std::erase_if(report.events, [&](const CacheEvent&) {
      return std::uniform_real_distribution<double>(0, 1)(random_) < options_.event_loss;
    });
    reports_.push_back(std::move(report));
    Schedule(now_ + options_.report_lag_s, EventType::kDeliver, 0);
    Schedule(now_ + options_.report_interval_s, EventType::kSample, index);
  }

  void Deliver() {
    const Report report = std::move(reports_.front());
    reports_.pop_front();
    reported_kv_[report.engine] = report.load.kv_used.value();
    for (std::size_t home = 0; home < routers_.size(); ++home) {
      routers_[home].OnLoad(report.engine, report.load, report.own[home]);
      for (const CacheEvent& event : report.events) {
        routers_[home].OnCacheEvent(report.engine, event, now_);
      }
    }
  }

  void LoseEngines() {
    for (std::size_t i = 0; i < dispatchers_.size() / 3; ++i) {
      for (const std::uint64_t call : dispatchers_[i]->Fail()) {
        Program& program = programs_[call >> 20U];
        routers_[program.home].OnFinished(program.description, i, 0, now_);
        Schedule(now_ + options_.detection_s, EventType::kTurn, call >> 20U);
      }
      Schedule(now_ + options_.detection_s / 2, EventType::kDetection, i);
    }
  }

  const Deployment& deployment_;
  const Strategy strategy_;
  const RunOptions options_;
  std::mt19937_64 random_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
  std::uint64_t attempts_ = 0;
  double now_ = 0;
  bool closed_ = false;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers_;
  std::deque<HomeRouter> routers_;
  std::vector<PausePolicy> pauses_;
  std::vector<std::vector<double>> outputs_;
  std::deque<Program> programs_;
  std::deque<Report> reports_;
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
  Deployment single = deployment;
  single.classes = {deployment.classes[priority_class]};
  RunOptions options;
  options.seed = seed;
  options.horizon = {.warm_up_s = 300, .measured_s = 600, .drain_s = 0};
  Simulation simulation(single, strategy, options);
  std::mt19937_64 random(seed);
  simulation.KeepProgramsInProgress();
  const auto slots = static_cast<std::uint64_t>(single.endpoints) * EngineOptions().slots;
  for (std::uint64_t i = 0; i < slots * 3 / 2; ++i) {
    simulation.Add(DrawProgram(single, 0, i, random));
  }
  const RunResult result = simulation.Run();
  return static_cast<double>(result.ended_programs) / options.horizon.measured_s;
}

}  // namespace acaciaspring::bench
