#include "review/support-2/harness.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "fakes/json_text.h"

namespace acaciaspring::review {

namespace {

constexpr Duration kRegistryPeriod = std::chrono::milliseconds(600);
constexpr std::uint32_t kTopics = 4;
constexpr std::uint32_t kParts = 12;
constexpr const char* kBinary = "target/acaciaspring_gatewayd";

// Process ids of the running daemons; 0 for none. Read by the signal handler.
std::array<volatile pid_t, 16> running_daemons{};

/// @brief Ends the daemons by their ids if the script is stopped before its end.
void EndDaemons(int) {
  for (const pid_t pid : running_daemons) {
    if (pid > 0) {
      kill(pid, SIGKILL);
    }
  }
  _exit(2);
}

std::uint64_t BigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) {
    value = value << 8U | static_cast<unsigned char>(byte);
  }
  return value;
}

/// @brief A loopback network of its own for each run.
std::string PickSubnet() {
  const auto pid = static_cast<std::uint32_t>(getpid());
  return "127." + std::to_string(101 + pid / 200 % 100) + "." + std::to_string(1 + pid % 200) + ".";
}

}  // namespace

void Journal::Write(const std::string& line) {
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f  ",
                std::chrono::duration<double>(loop_.Now() - start_).count());
  file_ << time.data() << line << std::endl;
}

void StoreRoom::OnAppended(const std::string& partition, std::uint64_t end, std::size_t bytes) {
  auto& appends = appends_[partition];
  // A repeat gets the result of its first attempt and is stored once.
  if (appends.empty() || appends.back().first < end) {
    appends.emplace_back(end, bytes);
    stored_ += bytes;
  }
}

void StoreRoom::OnTrimmed(const std::string& partition, std::uint64_t before) {
  auto& appends = appends_[partition];
  while (!appends.empty() && appends.front().first <= before) {
    stored_ -= appends.front().second;
    appends.pop_front();
  }
}

StoreFront::StoreFront(net::Loop& loop, net::Address store, StoreRoom& room)
    : loop_(loop),
      store_(std::move(store)),
      room_(room),
      client_(loop, {.pool_capacity = 64, .pool_idle_timeout = std::chrono::seconds(2)}),
      server_(loop,
              {.listen = {.ip = "127.0.0.1", .port = 0}},
              [this](const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
                if (turns_away_) {
                  responder->Respond(503, {}, "");
                  return;
                }
                const bool appends = request.path == "/-/log-append" && !request.body.empty();
                if (appends && !room_.HasRoomFor(request.body.size())) {
                  room_.CountRefused();
                  responder->Respond(507, {}, "");
                  return;
                }
                const std::uint64_t number = next_call_++;
                calls_[number] = net::Fetch(
                    client_,
                    {.server = store_,
                     .method = request.method,
                     .target = request.path + (request.query.empty() ? "" : "?" + request.query),
                     .body = request.body},
                    std::size_t{8} << 20,
                    [this, number, responder, request](const net::HttpReply& reply) {
                      loop_.Post([call = std::move(calls_[number])] {});
                      calls_.erase(number);
                      const auto* finished = std::get_if<net::HttpFinished>(&reply.result);
                      if (finished == nullptr) {
                        responder->Abort();
                        return;
                      }
                      Account(request, finished->status, reply.body);
                      const Duration delay = delay_ ? delay_(request, reply.body) : Duration(0);
                      if (delay == Duration(0)) {
                        responder->Respond(finished->status, {}, reply.body);
                        return;
                      }
                      late_answers_[number] = loop_.After(
                          delay, [responder, status = finished->status, body = reply.body] {
                            responder->Respond(status, {}, body);
                          });
                    });
              }) {}

void StoreFront::Account(const net::HttpRequest& request, int status, const std::string& answer) {
  if (status != 200) {
    return;
  }
  if (request.path == "/-/log-append" && !request.body.empty()) {
    if (const auto json = fakes::ParseJson(answer)) {
      room_.OnAppended(std::string(net::FindQueryParameter(request, "topic")) + "/" +
                           std::string(net::FindQueryParameter(request, "part")),
                       (*json)["end"].asUInt64(), request.body.size());
    }
  } else if (request.path == "/-/log-trim") {
    if (const auto json = fakes::ParseJson(request.body)) {
      room_.OnTrimmed((*json)["topic"].asString() + "/" + std::to_string((*json)["part"].asUInt()),
                      (*json)["before"].asUInt64());
    }
  }
}

Engine::Engine(net::Loop& loop, Journal& journal, std::string id, std::string service)
    : loop_(loop),
      journal_(journal),
      id_(std::move(id)),
      service_(std::move(service)),
      server_(loop,
              {.listen = {.ip = "127.0.0.1", .port = 0}},
              [this](const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
                Handle(request, responder);
              }) {}

std::string Engine::RegistryEntry() {
  return R"({"service":")" + service_ + R"(","address":")" + server_.address().ToString() +
         R"(","zone":"z0","version":"v1","slots":24,"state":"ready","cold_left_ms":0,"born":1,)" +
         R"("sequence":)" + std::to_string(++sequence_) + "}";
}

void Engine::Handle(const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
  const std::string id(net::FindHeader(request.headers, "acaciaspring-request-id"));
  if (request.path == "/health") {
    responder->Respond(200, {{"acaciaspring-instance-id", id_}}, "");
    return;
  }
  if (net::FindHeader(request.headers, "acaciaspring-expect-instance") != id_) {
    responder->Respond(421, {{"acaciaspring-request-id", id}, {"acaciaspring-not-executed", "1"}},
                       "");
    return;
  }
  runs_.push_back({.id = id,
                   .body = request.body,
                   .previous_turn = std::string(
                       net::FindHeader(request.headers, "acaciaspring-previous-turn"))});
  const std::size_t found = request.body.rfind("events=");
  const auto count = static_cast<std::uint32_t>(
      found == std::string::npos ? 1 : std::strtoul(request.body.c_str() + found + 7, nullptr, 10));
  journal_.Write("run      " + id + " at " + id_ + ", " + std::to_string(request.body.size()) +
                 " bytes, " + std::to_string(count) + " events");
  responder->Start(200, {{"acaciaspring-request-id", id},
                         {"acaciaspring-server-stamp", "stamp-" + id},
                         {"content-type", "text/event-stream"}});
  SendEvent(responder, id, 0, count);
}

void Engine::SendEvent(const net::HttpResponderPtr& responder,
                       const std::string& id,
                       std::uint32_t index,
                       std::uint32_t count) {
  if (responder->closed()) {
    return;
  }
  if (index == count) {
    responder->End();
    return;
  }
  responder->Write("id: " + std::to_string(index) + "\ndata: " + id + "/" + std::to_string(index) +
                   "\n\n");
  const std::uint64_t timer = next_timer_++;
  timers_[timer] = loop_.After(interval_, [this, responder, id, index, count, timer] {
    const net::Timer done = std::move(timers_[timer]);
    timers_.erase(timer);
    SendEvent(responder, id, index + 1, count);
  });
}

Daemon::Daemon(net::Loop& loop,
               Journal& journal,
               std::string directory,
               std::uint32_t index,
               const std::string& subnet,
               net::Address store,
               StoreRoom& room,
               std::uint32_t history_s)
    : loop_(loop),
      journal_(journal),
      index_(index),
      name_("front-" + std::to_string(index)),
      ip_(subnet + std::to_string(10 + index)),
      settings_path_(directory + "/" + name_ + ".toml"),
      log_path_(directory + "/" + name_ + ".log"),
      front_(loop, std::move(store), room),
      proxy_(loop, front_.address()) {
  std::ofstream file(settings_path_);
  file << "node_name = \"" << name_ << "\"\nrole = \"gateway\"\nmachine_class = \"front\"\n"
       << "serves = [\"front\",\"directory\"]\nip = \"" << ip_ << "\"\nzone = \"z" << index % 3
       << "\"\nregion = \"r\"\nport_range = [7380,7395]\nseeds = []\nbootstrap = true\n"
       << "loss_counts = false\ndiscovery = \"platform\"\nentry = \"directory\"\n"
       << "heartbeat_ms = 1200\n"
       << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\","
       << "\"engine\",\"platform\"]\n[zones]\nz0 = \"r\"\nz1 = \"r\"\nz2 = \"r\"\n[bind]\n"
       << "front = \"" << ip_ << ":8149\"\nready = \"" << ip_ << ":8141\"\ndirectory = \"" << ip_
       << ":8143\"\n[limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 220\nmax_fds = 8200\n"
       << "link_mbps = 2000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 1\nzones = 0\n"
       << "regions = 0\n[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\nstable_ms = 3000\n"
       << "ack_ms = 4000\ncatch_up_s = 4.9\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n"
       << "config_apply_ms = 2000\nrollback_slack_ms = 250\nskew_max_ms = 5000\nrecover_s = 12\n"
       << "pass_ms = 120\nretry_after_s = 0\ndeadline_s = 10\nsettle_ms = 1000\nttl_max_s = 5\n"
       << "[platform]\naddress = \"" << proxy_.address().ToString() << "\"\nform = \"log\"\n"
       << "writes_per_s = 600\nreads_per_s = 2000\nparts = " << kParts
       << "\nappend_ms = 2.0\npart_mb_s = 20.0\nread_mb_s = 80.0\nrecord_bytes = 262144\n"
       << "call_bytes = 2097152\nretain_s = " << history_s
       << "\npart_mb = 200\nttl_min_ms = 1000\n";
}

Daemon::~Daemon() {
  destroying_ = true;
  restart_.Cancel();
  if (running_) {
    Signal(SIGCONT);
    Signal(SIGKILL);
    while (running_) {
      uv_run(loop_.raw(), UV_RUN_ONCE);
    }
  }
}

void Daemon::Start() {
  std::array<char*, 2> arguments = {const_cast<char*>(kBinary), nullptr};
  const std::string setting = "ACACIASPRING_SETTINGS=" + settings_path_;
  const std::string path = std::string("PATH=") + (getenv("PATH") != nullptr ? getenv("PATH") : "");
  std::array<char*, 3> environment = {const_cast<char*>(setting.c_str()),
                                      const_cast<char*>(path.c_str()), nullptr};
  const int log = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::array<uv_stdio_container_t, 3> stdio{};
  stdio[0].flags = UV_IGNORE;
  stdio[1].flags = UV_INHERIT_FD;
  stdio[1].data.fd = log;
  stdio[2] = stdio[1];
  uv_process_options_t spawn{};
  spawn.file = kBinary;
  spawn.args = arguments.data();
  spawn.env = environment.data();
  spawn.stdio = stdio.data();
  spawn.stdio_count = static_cast<int>(stdio.size());
  spawn.exit_cb = [](uv_process_t* process, std::int64_t status, int number) {
    auto* self = static_cast<Daemon*>(process->data);
    uv_close(reinterpret_cast<uv_handle_t*>(process), nullptr);
    self->running_ = false;
    running_daemons.at(self->index_) = 0;
    if (self->destroying_) {
      return;
    }
    self->ended_by_itself_ = self->ended_by_itself_ || !self->end_expected_;
    self->journal_.Write("process  " + self->name_ + " ended: status " + std::to_string(status) +
                         ", signal " + std::to_string(number));
    if (self->restart_delay_) {
      self->restart_ = self->loop_.After(*self->restart_delay_, [self] { self->Start(); });
    }
  };
  process_.data = this;
  end_expected_ = false;
  const int result = uv_spawn(loop_.raw(), &process_, &spawn);
  close(log);
  if (result != 0) {
    uv_close(reinterpret_cast<uv_handle_t*>(&process_), nullptr);
    journal_.Write("process  " + name_ + " cannot be started: " + uv_strerror(result));
    return;
  }
  running_ = true;
  running_daemons.at(index_) = process_.pid;
  journal_.Write("process  " + name_ + " started");
}

void Daemon::Signal(int number) {
  if (running_) {
    end_expected_ = end_expected_ || number == SIGKILL || number == SIGTERM;
    uv_process_kill(&process_, number);
  }
}

Site::Site(const std::string& directory, const SiteOptions& options)
    : options_(options),
      journal_(loop_, std::getenv("RECORD") != nullptr ? std::getenv("RECORD") : "record.txt"),
      store_(loop_, {.ip = "127.0.0.1", .port = 0}, {.partitions_per_topic = kParts}),
      client_(loop_, {.pool_capacity = 64, .pool_idle_timeout = options.channel_idle}),
      tag_("q" + std::to_string(getpid()) + "x") {
  for (std::uint32_t i = 0; i < options_.engines; ++i) {
    engines_.push_back(
        std::make_unique<Engine>(loop_, journal_, "i-engine" + std::to_string(i), "engines"));
  }
  std::signal(SIGTERM, EndDaemons);
  std::signal(SIGINT, EndDaemons);
  const std::string subnet = PickSubnet();
  for (std::uint32_t i = 0; i < options_.daemons; ++i) {
    daemons_.push_back(std::make_unique<Daemon>(loop_, journal_, directory, i, subnet,
                                                store_.address(), room_, options_.history_s));
  }
  WriteManifest();
  WriteRegistry();
  registration_ = loop_.Every(kRegistryPeriod, [this] { WriteRegistry(); });
  if (options_.expires) {
    expiry_ = loop_.Every(std::chrono::milliseconds(500), [this] { ExpireHistory(); });
  }
}

Site::~Site() = default;

void Site::WriteManifest() {
  store_.WriteKey(
      "keyed.op", "config",
      R"({"version":7,"routes":[{"name":"turns","host":"h.example","path_prefix":"/turns/",)"
      R"("kind":"streaming","timeout_ms":4000,"slo_ms":400,"priority":2,"service":"engines",)"
      R"("max_attempts":2,"retained":true,"retain_s":60.0,"affinity":true,"resumable":false,)"
      R"("gap_aim_ms":300}],"services":[{"name":"engines","health_path":"/health",)"
      R"("max_conns":200,"protocol":"h1","tls":false,"engine":{"slots":24,"kv_capacity":766634,)"
      R"("stride":18}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})");
}

void Site::WriteRegistry() {
  for (const auto& engine : engines_) {
    store_.WriteKey("keyed.servers", engine->id(), engine->RegistryEntry());
  }
}

void Site::ExpireHistory() {
  const MonotonicTime now = loop_.Now();
  const Duration history = std::chrono::seconds(options_.history_s);
  for (std::uint32_t topic = 0; topic < kTopics; ++topic) {
    for (std::uint32_t part = 0; part < kParts; ++part) {
      const std::string name = "turns-" + std::to_string(topic);
      const std::string key = name + "/" + std::to_string(part);
      net::HttpClientRequest read{.server = store_.address(),
                                  .target = "/-/log-read?topic=" + name +
                                            "&part=" + std::to_string(part) + "&from=1000000000"};
      net::Fetch(client_, std::move(read), 1 << 20, [this, key, now](const net::HttpReply& reply) {
        const auto* finished = std::get_if<net::HttpFinished>(&reply.result);
        if (finished != nullptr && finished->status == 200 && reply.body.size() >= 8) {
          ends_[key].emplace_back(now, BigEndian(std::string_view(reply.body).substr(0, 8)));
        }
      });
      // Records below an end that was seen more than the history ago are older than the history.
      auto& ends = ends_[key];
      std::uint64_t before = 0;
      while (!ends.empty() && now - ends.front().first > history) {
        before = ends.front().second;
        ends.erase(ends.begin());
      }
      if (before > 0) {
        net::HttpClientRequest trim{.server = store_.address(),
                                    .method = "POST",
                                    .target = "/-/log-trim",
                                    .body = R"({"topic":")" + name + R"(","part":)" +
                                            std::to_string(part) + R"(,"before":)" +
                                            std::to_string(before) + "}"};
        net::Fetch(client_, std::move(trim), 1 << 20, [](const net::HttpReply&) {});
      }
    }
  }
}

void Site::RunFor(Duration duration) {
  const net::Timer end = loop_.After(duration, [this] { loop_.Stop(); });
  loop_.Run();
}

bool Site::RunUntil(const std::function<bool()>& done, Duration limit) {
  const MonotonicTime end = loop_.Now() + limit;
  while (!done()) {
    if (loop_.Now() > end) {
      return false;
    }
    RunFor(std::chrono::milliseconds(5));
  }
  return true;
}

bool Site::StartAll() {
  for (const auto& daemon : daemons_) {
    daemon->Start();
  }
  const bool ready = RunUntil(
      [this] {
        std::size_t count = 0;
        std::size_t answered = 0;
        for (const auto& daemon : daemons_) {
          net::Fetch(client_,
                     {.server = daemon->ready(),
                      .target = "/-/ready",
                      .io_timeout = std::chrono::milliseconds(300)},
                     1000, [&](const net::HttpReply& reply) {
                       ++answered;
                       const auto* finished = std::get_if<net::HttpFinished>(&reply.result);
                       count += finished != nullptr && finished->status == 200 ? 1 : 0;
                     });
        }
        while (answered < daemons_.size()) {
          RunFor(std::chrono::milliseconds(10));
        }
        return count == daemons_.size();
      },
      std::chrono::seconds(20));
  // The partitions settle.
  RunFor(std::chrono::seconds(5));
  return ready;
}

void Site::Send(Daemon& daemon, const Turn& turn, std::function<void(const TurnResult&)> on_done) {
  struct State {
    TurnResult result;
    net::SseParser parser{1 << 20};
  };
  const auto state = std::make_shared<State>();
  const std::uint64_t number = next_call_++;
  net::HttpClientRequest request{
      .server = daemon.front(),
      .method = "POST",
      .target = "/turns/1",
      .headers = {{"host", "h.example"},
                  {"acaciaspring-request-id", turn.id},
                  {"acaciaspring-deadline-ms", "4000"},
                  {"acaciaspring-program-id", turn.program},
                  {"acaciaspring-session-id", turn.session},
                  {"acaciaspring-program-deadline-ms", "60000"},
                  {"acaciaspring-model", "m"},
                  {"acaciaspring-token-usage", "100," + std::to_string(turn.max_tokens)},
                  {"acaciaspring-token-budget", std::to_string(turn.budget)}},
      .body = turn.text + "\nevents=" + std::to_string(turn.events) + "\n",
      .io_timeout = std::chrono::milliseconds(4500),
      .connect_timeout = std::chrono::seconds(1)};
  if (!turn.previous.empty()) {
    request.headers.emplace_back("acaciaspring-previous-turn", turn.previous);
  }
  journal_.Write("send     " + turn.id + " of program " + turn.program + " to " + daemon.name() +
                 (turn.previous.empty() ? "" : ", previous turn " + turn.previous));
  calls_[number] = client_.Send(
      std::move(request),
      {.on_head = [state](int status, const net::Headers&) { state->result.status = status; },
       .on_data =
           [this, state, program = turn.program](std::string_view data) {
             if (state->result.status != 200) {
               return;
             }
             for (const net::SseEvent& event : state->parser.Feed(data)) {
               ++state->result.events;
               state->result.output += event.data + "\n";
               ++events_[program];
             }
           },
       .on_done =
           [this, state, number, id = turn.id,
            on_done = std::move(on_done)](const net::HttpResult& result) {
             state->result.cut = std::holds_alternative<net::HttpInterrupted>(result) &&
                                 !std::get<net::HttpInterrupted>(result).timed_out;
             state->result.whole =
                 std::holds_alternative<net::HttpFinished>(result) && state->result.status == 200;
             journal_.Write("answer   " + id + ": status " + std::to_string(state->result.status) +
                            ", " + std::to_string(state->result.events) + " events, " +
                            (std::holds_alternative<net::HttpFinished>(result) ? "whole" : "cut"));
             loop_.Post([call = std::move(calls_[number])] {});
             calls_.erase(number);
             on_done(state->result);
           }});
}

TurnResult Site::SendAndWait(Daemon& daemon, const Turn& turn) {
  std::optional<TurnResult> result;
  Send(daemon, turn, [&](const TurnResult& ended) { result = ended; });
  while (!result) {
    RunFor(std::chrono::milliseconds(5));
  }
  return *result;
}

std::uint64_t Site::EventsOf(const std::string& program) const {
  const auto found = events_.find(program);
  return found == events_.end() ? 0 : found->second;
}

std::string Site::OwnerOf(const std::string& turn_id) const {
  for (const auto& daemon : daemons_) {
    std::ifstream log(daemon->log_path());
    std::string line;
    while (std::getline(log, line)) {
      if (line.find("turn") != std::string::npos && line.find("epoch") != std::string::npos &&
          line.find(turn_id) != std::string::npos) {
        return daemon->name();
      }
    }
  }
  return {};
}

std::string Site::RunBodyOf(const std::string& id) const {
  for (const auto& engine : engines_) {
    for (const EngineRun& run : engine->runs()) {
      if (run.id == id) {
        return run.body;
      }
    }
  }
  return {};
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace acaciaspring::review
