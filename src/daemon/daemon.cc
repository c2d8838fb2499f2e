#include "acaciaspring/daemon.h"

#include <glog/logging.h>

#include <utility>

#include "src/daemon/admin_api.h"
#include "src/daemon/call_relay.h"
#include "src/daemon/cluster.h"
#include "src/daemon/dispatcher.h"
#include "src/daemon/entry_server.h"
#include "src/daemon/home_runner.h"
#include "src/daemon/organisation_limits.h"

namespace acaciaspring::daemon {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr Duration kReportPeriod = std::chrono::milliseconds(250);
// Spans are flushed in small batches, since formatting 256 spans at once delays calls by
// milliseconds.
constexpr Duration kSpanFlushPeriod = std::chrono::milliseconds(50);
constexpr std::size_t kSpansPerFlush = 64;
constexpr Duration kCheckpointPeriod = std::chrono::seconds(1);
constexpr Duration kDrainCheckPeriod = std::chrono::milliseconds(50);
// A drain that takes longer is ended. The next owner of a shard reports the interrupted calls as
// Unknown.
constexpr Duration kDrainTimeout = std::chrono::seconds(60);

Incarnation MakeIncarnation() {
  return Incarnation(static_cast<std::uint64_t>(net::Loop::WallNow().time_since_epoch().count()));
}

journal::JournalOptions MakeJournalOptions(const config::Settings& settings,
                                           Incarnation incarnation) {
  journal::JournalOptions options;
  options.log = ToAddress(settings.log);
  options.daemon = settings.daemon;
  options.incarnation = incarnation;
  options.writer.appends_per_second = settings.log_appends_per_second;
  options.log_unavailable_after = settings.log_unavailable_after;
  return options;
}

PeerNetworkOptions MakePeerOptions(const config::Settings& settings, Incarnation incarnation) {
  PeerNetworkOptions options;
  options.self = settings.daemon;
  options.incarnation = incarnation;
  options.listen = ToAddress(settings.peer);
  options.cluster_key = settings.cluster_key;
  return options;
}

telemetry::Sink MakeSink(const config::Settings& settings, net::HttpClient& http) {
  return std::visit(
      Overloaded{
          [](const std::monostate&) -> telemetry::Sink { return telemetry::NoSink{}; },
          [](const config::TraceFile& file) -> telemetry::Sink {
            return telemetry::FileSink{file.path};
          },
          [&](const config::TraceCollector& collector) -> telemetry::Sink {
            telemetry::CollectorSink sink;
            sink.client = &http;
            sink.collector = ToAddress(collector.address);
            return sink;
          },
      },
      settings.trace);
}

telemetry::TracerOptions MakeTracerOptions(const config::Settings& settings) {
  telemetry::TracerOptions options;
  options.instance = settings.daemon.value();
  options.max_batch_spans = kSpansPerFlush;
  return options;
}

}  // namespace

class DaemonImpl {
 public:
  DaemonImpl(net::Loop& loop, config::Settings settings)
      : loop_(loop),
        settings_(std::move(settings)),
        incarnation_(MakeIncarnation()),
        random_(std::random_device{}()),
        http_(loop, {}),
        journal_(loop, http_, MakeJournalOptions(settings_, incarnation_)),
        peers_(loop, MakePeerOptions(settings_, incarnation_), MakePeerHandlers()),
        tracer_(MakeTracerOptions(settings_), MakeSink(settings_, http_)),
        cluster_(MakeContext(), MakeClusterHandlers()),
        home_runner_(MakeContext(), cluster_),
        dispatcher_(MakeContext(), cluster_),
        organisation_limits_(MakeContext(), cluster_),
        call_relay_(MakeContext(), cluster_, organisation_limits_),
        admin_api_(
            MakeContext(),
            cluster_,
            {.local_status = [this] { return LocalStatus(); }, .drain = [this] { Drain(); }}),
        entry_server_(MakeContext(), cluster_, call_relay_, admin_api_) {}

  void Start() {
    journal_.OnApplied([this](const journal::Envelope& envelope, Offset, const auto& verdict) {
      OnApplied(envelope.record, verdict);
    });
    journal_.OnRebuilt([this] {
      LOG(WARNING) << "rebuilding the journal state from the oldest retained log entry";
      ownership_changed_ = true;
    });
    journal_.Start();
    cluster_.Start();
    tick_timer_ = loop_.Every(kTickPeriod, [this] { Tick(); });
    report_timer_ = loop_.Every(kReportPeriod, [this] { SendReports(); });
    span_flush_timer_ = loop_.Every(kSpanFlushPeriod, [this] { tracer_.Flush(); });
    checkpoint_timer_ = loop_.Every(kCheckpointPeriod, [this] { WriteCheckpoints(); });
    LOG(INFO) << "daemon " << settings_.daemon << " incarnation " << incarnation_ << " in zone "
              << settings_.zone << " listens on " << settings_.http.ToString();
  }

  void Shutdown(std::function<void()> on_finished) {
    on_finished_ = std::move(on_finished);
    Drain();
  }

 private:
  Context MakeContext() {
    return Context{loop_,  settings_, incarnation_, http_,   journal_,
                   peers_, metrics_,  tracer_,      random_, document_};
  }

  PeerHandlers MakePeerHandlers() {
    return {
        .on_message = [this](ChannelId channel,
                             wire::Message message) { OnMessage(channel, std::move(message)); },
        .on_closed =
            [this](ChannelId channel) {
              home_runner_.OnChannelClosed(channel);
              dispatcher_.OnChannelClosed(channel);
              call_relay_.OnChannelClosed(channel);
            },
    };
  }

  ClusterHandlers MakeClusterHandlers() {
    return {
        .on_changed =
            [this] {
              dispatcher_.OnPlacementChanged();
              ownership_changed_ = true;
            },
        .on_superseded =
            [this] {
              LOG(ERROR) << "a later incarnation of daemon " << settings_.daemon
                         << " is in the cluster; stopping this process";
              loop_.Stop();
            },
        .busy_shards = [this] { return home_runner_.BusyShards(); },
        .set_draining = [this](ShardId shard,
                               bool draining) { home_runner_.SetDraining(shard, draining); },
    };
  }

  void OnMessage(ChannelId channel, wire::Message message) {
    std::visit(
        Overloaded{
            [](const wire::Hello&) {},
            [&](const wire::CallRequest& value) { home_runner_.OnCall(channel, value); },
            [&](const wire::CallEvent& value) { call_relay_.OnEvent(channel, value); },
            [&](const wire::CallFinished& value) { call_relay_.OnFinished(channel, value); },
            [&](const wire::CallCancelled& value) { home_runner_.OnCallCancelled(channel, value); },
            [&](const wire::WrongOwner& value) { call_relay_.OnWrongOwner(channel, value); },
            [&](wire::DispatchRequest& value) { dispatcher_.OnRequest(channel, std::move(value)); },
            [&](const wire::DispatchEvent& value) { home_runner_.OnDispatchEvent(channel, value); },
            [&](wire::DispatchFinished& value) {
              home_runner_.OnDispatchFinished(channel, std::move(value));
            },
            [&](const wire::DispatchCancelled& value) { dispatcher_.OnCancelled(channel, value); },
            [&](const wire::EndpointReport& value) { home_runner_.OnEndpointReport(value); },
            [&](const wire::LimitRequest& value) {
              organisation_limits_.OnRequest(channel, value);
            },
            [&](const wire::LimitGranted& value) { organisation_limits_.OnGranted(value); },
            [&](const wire::StatusRequest& value) { admin_api_.OnStatusRequest(channel, value); },
            [&](const wire::StatusReply& value) { admin_api_.OnStatusReply(value); },
        },
        message);
  }

  void OnApplied(const journal::Record& record, const journal::Verdict& verdict) {
    if (!std::holds_alternative<journal::Accepted>(verdict)) {
      return;
    }
    if (std::holds_alternative<journal::ShardsClaimed>(record) ||
        std::holds_alternative<journal::ShardsReleased>(record)) {
      ownership_changed_ = true;
    } else if (const auto* ended = std::get_if<journal::ProgramEnded>(&record)) {
      home_runner_.OnProgramEnded(ended->program);
      dispatcher_.OnProgramEnded(ended->program);
    }
  }

  void Tick() {
    ApplyConfiguration();
    if (std::exchange(ownership_changed_, false)) {
      home_runner_.OnOwnershipChanged();
      call_relay_.OnOwnershipChanged();
    }
    home_runner_.Tick();
    dispatcher_.Tick();
    organisation_limits_.Tick();
  }

  // A daemon accepts no calls until it has read the log to its end and applied a configuration.
  void ApplyConfiguration() {
    const journal::State& state = journal_.state();
    if (!journal_.caught_up() || state.revision() == processed_revision_) {
      return;
    }
    processed_revision_ = state.revision();
    try {
      document_ = config::ParseDocument(state.document());
    } catch (const config::ConfigError& error) {
      LOG(ERROR) << "configuration revision " << state.revision()
                 << " cannot be parsed and is not applied: " << error.what();
      return;
    }
    LOG(INFO) << "configuration revision " << processed_revision_ << " is in force";
    home_runner_.OnConfiguration();
    dispatcher_.OnConfiguration();
    organisation_limits_.OnConfiguration();
    entry_server_.OnConfiguration();
    cluster_.SetRevision(processed_revision_);
    cluster_.SetReady(true);
    entry_server_.SetReady(!cluster_.leaving());
  }

  void SendReports() {
    for (const wire::EndpointReport& report : dispatcher_.MakeReports()) {
      for (const membership::Member& member : cluster_.members()) {
        if (!placement::IsEligible(member) || member.region.value() != settings_.region) {
          continue;
        }
        if (const auto channel = peers_.ChannelTo(member.id)) {
          peers_.Send(*channel, report);
        }
      }
    }
  }

  void WriteCheckpoints() {
    if (!journal_.caught_up() || !journal_.available()) {
      return;
    }
    journal::CheckpointPlanOptions options;
    options.retention = settings_.retention;
    for (journal::Record& record : journal::PlanCheckpoints(
             journal_.state(), settings_.daemon, incarnation_, net::Loop::WallNow(), options,
             [this](const ProgramId& program) { return journal_.IsPending(program); })) {
      journal_.Append(std::move(record), nullptr);
    }
  }

  Json::Value LocalStatus() const {
    Json::Value out;
    out["endpoints"] = dispatcher_.Status();
    out["home_calls"] = Json::UInt64(home_runner_.active_calls());
    out["entry_calls"] = Json::UInt64(call_relay_.open_calls());
    out["dispatched_calls"] = Json::UInt64(dispatcher_.active_calls());
    return out;
  }

  void Drain() {
    if (cluster_.leaving()) {
      return;
    }
    LOG(INFO) << "graceful shutdown: leaving the cluster";
    cluster_.Leave();
    entry_server_.SetReady(false);
    drain_started_ = loop_.Now();
    drain_timer_ = loop_.Every(kDrainCheckPeriod, [this] { CheckDrained(); });
  }

  void CheckDrained() {
    const Duration elapsed = loop_.Now() - drain_started_;
    // Callers cache the list of entries for its TTL and may connect until it expires.
    if (elapsed < settings_.entries_ttl) {
      return;
    }
    const bool idle = entry_server_.open_requests() == 0 && call_relay_.open_calls() == 0 &&
                      home_runner_.active_calls() == 0 && dispatcher_.active_calls() == 0 &&
                      cluster_.owned_shards() == 0 && journal_.pending_records() == 0;
    if (!idle && elapsed < kDrainTimeout) {
      return;
    }
    LOG(INFO) << (idle ? "graceful shutdown: finished" : "graceful shutdown: timed out");
    entry_server_.StopAccepting();
    drain_timer_.Cancel();
    if (on_finished_) {
      loop_.Post(std::exchange(on_finished_, nullptr));
    }
  }

  net::Loop& loop_;
  config::Settings settings_;
  Incarnation incarnation_;
  std::mt19937_64 random_;
  config::Document document_;
  /// Last revision that was applied or could not be parsed.
  Revision processed_revision_;
  telemetry::Registry metrics_;
  net::HttpClient http_;
  journal::Journal journal_;
  PeerNetwork peers_;
  telemetry::Tracer tracer_;
  Cluster cluster_;
  HomeRunner home_runner_;
  Dispatcher dispatcher_;
  OrganisationLimits organisation_limits_;
  CallRelay call_relay_;
  AdminApi admin_api_;
  EntryServer entry_server_;
  bool ownership_changed_ = false;
  MonotonicTime drain_started_{};
  std::function<void()> on_finished_;
  net::Timer tick_timer_;
  net::Timer report_timer_;
  net::Timer span_flush_timer_;
  net::Timer checkpoint_timer_;
  net::Timer drain_timer_;
};

Daemon::Daemon(net::Loop& loop, config::Settings settings)
    : impl_(std::make_unique<DaemonImpl>(loop, std::move(settings))) {}

Daemon::~Daemon() = default;

void Daemon::Start() {
  impl_->Start();
}

void Daemon::Shutdown(std::function<void()> on_finished) {
  impl_->Shutdown(std::move(on_finished));
}

}  // namespace acaciaspring::daemon
