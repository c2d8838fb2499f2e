#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>

#include "review/support/stand_ins.h"

namespace review {

namespace {

constexpr Duration kRegistrationPeriod = std::chrono::milliseconds(1200);
constexpr Duration kTurnDeadline = std::chrono::milliseconds(4000);

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string MakeDirectory() {
  std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) {
    std::perror("mkdtemp");
    std::exit(kCouldNotRun);
  }
  return path;
}

}  // namespace

bool TroubleWanted() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Record::Record(net::Loop& loop, const std::string& path)
    : loop_(loop), started_at_(loop.Now()), file_(path) {}

void Record::Write(const std::string& line) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(loop_.Now() - started_at_).count();
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f  ", static_cast<double>(ms) / 1000);
  file_ << time.data() << line << std::endl;
}

Server::Server(net::Loop& loop, Record& record, ServerOptions options)
    : loop_(loop), record_(record), options_(std::move(options)) {
  born_ms_ = NowMs();
  server_ = std::make_unique<net::HttpServer>(
      loop_,
      net::HttpServerOptions{.listen = {.ip = "127.0.0.1", .port = 0},
                             .max_body_bytes = std::size_t{64} << 20},
      [this](const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
        Handle(request, responder);
      });
}

std::string MakeRegistryEntry(const std::string& service,
                              const net::Address& address,
                              const std::string& zone,
                              std::uint32_t slots,
                              std::int64_t born_ms,
                              std::uint64_t sequence) {
  return R"({"service":")" + service + R"(","address":")" + address.ToString() + R"(","zone":")" +
         zone + R"(","version":"v1","slots":)" + std::to_string(slots) +
         R"(,"state":"ready","cold_left_ms":0,"born":)" + std::to_string(born_ms) +
         R"(,"sequence":)" + std::to_string(sequence) + "}";
}

std::string Server::RegistryEntry() {
  return MakeRegistryEntry(options_.service, server_->address(), options_.zone, options_.slots,
                           born_ms_, ++sequence_);
}

void Server::Crash() {
  record_.Write("server " + options_.id + ": crashes");
  timers_.clear();
  server_.reset();
}

void Server::Handle(const net::HttpRequest& request, const net::HttpResponderPtr& responder) {
  const std::string id(net::FindHeader(request.headers, "acaciaspring-request-id"));
  const auto expected = net::FindHeader(request.headers, "acaciaspring-expect-instance");
  if (!expected.empty() && expected != options_.id) {
    responder->Respond(421, {{"acaciaspring-request-id", id}}, "");
    return;
  }
  runs_[id].push_back(request.body);
  record_.Write("server " + options_.id + ": runs " + id + ", body of " +
                std::to_string(request.body.size()) + " bytes");
  const net::Headers headers = {{"acaciaspring-request-id", id},
                                {"acaciaspring-server-stamp", options_.id + "." + id}};
  if (!options_.streams) {
    responder->Respond(200, headers, "done " + id);
    return;
  }
  responder->Start(200, headers);
  SendEvent(responder, id, 0);
}

void Server::SendEvent(const net::HttpResponderPtr& responder,
                       const std::string& id,
                       std::uint32_t index) {
  if (responder->closed()) {
    return;
  }
  if (index == options_.events) {
    responder->End();
    return;
  }
  const std::string number = std::to_string(index);
  responder->Write("id: " + number + "\ndata: " + id + " event " + number + "\n\n");
  const std::uint64_t timer = next_timer_++;
  timers_[timer] = loop_.After(options_.event_interval, [this, responder, id, index, timer] {
    const net::Timer done = std::move(timers_[timer]);
    timers_.erase(timer);
    SendEvent(responder, id, index + 1);
  });
}

Daemon::Daemon(net::Loop& loop, Record& record, const Store& store, DaemonOptions options)
    : loop_(loop), record_(record), options_(std::move(options)) {
  const std::string& ip = options_.ip;
  const StoreOptions& limits = store.options();
  const auto retention = std::chrono::duration_cast<std::chrono::seconds>(limits.retention);
  std::ofstream(options_.directory + "/" + options_.name + ".toml")
      << "node_name = \"" << options_.name << "\"\nrole = \"gateway\"\nmachine_class = \"front\"\n"
      << "serves = [\"front\", \"directory\"]\nip = \"" << ip << "\"\nzone = \"" << options_.zone
      << "\"\nregion = \"r\"\nport_range = [7380, 7395]\nseeds = []\nbootstrap = true\n"
      << "discovery = \"platform\"\nentry = \"directory\"\nheartbeat_ms = 1200\n[bind]\nfront = \""
      << ip << ":8149\"\nready = \"" << ip << ":8141\"\ndirectory = \"" << ip
      << ":8143\"\n[limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 220\nmax_fds = 8200\n"
      << "[bounds]\nstable_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\nconfig_apply_ms = 2000\n"
      << "recover_s = 12\nttl_max_s = 5\n[platform]\naddress = \"" << store.address().ToString()
      << "\"\nform = \"log\"\nwrites_per_s = 600\nreads_per_s = 2000\nparts = "
      << limits.partitions_per_topic << "\nappend_ms = 2.0\npart_mb_s = 20.0\nread_mb_s = 80.0\n"
      << "record_bytes = " << limits.record_bytes << "\ncall_bytes = " << limits.call_bytes
      << "\nretain_s = " << retention.count() << "\npart_mb = 200\nttl_min_ms = 1000\n";
}

Daemon::~Daemon() {
  if (running_) {
    Signal(SIGCONT);
    Signal(SIGKILL);
    while (running_) {
      uv_run(loop_.raw(), UV_RUN_ONCE);
    }
  }
}

void Daemon::Start() {
  std::string binary = "target/acaciaspring_gatewayd";
  std::array<char*, 2> arguments = {binary.data(), nullptr};
  std::string settings =
      "ACACIASPRING_SETTINGS=" + options_.directory + "/" + options_.name + ".toml";
  const char* path = std::getenv("PATH");
  std::string path_variable = std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
  std::array<char*, 3> environment = {settings.data(), path_variable.data(), nullptr};
  const int log = open((options_.directory + "/" + options_.name + ".log").c_str(),
                       O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::array<uv_stdio_container_t, 3> stdio{};
  stdio[0].flags = UV_IGNORE;
  stdio[1].flags = UV_INHERIT_FD;
  stdio[1].data.fd = log;
  stdio[2] = stdio[1];
  uv_process_options_t spawn{};
  spawn.file = binary.c_str();
  spawn.args = arguments.data();
  spawn.env = environment.data();
  spawn.stdio = stdio.data();
  spawn.stdio_count = static_cast<int>(stdio.size());
  spawn.exit_cb = [](uv_process_t* process, std::int64_t status, int signal_number) {
    auto* self = static_cast<Daemon*>(process->data);
    uv_close(reinterpret_cast<uv_handle_t*>(process), nullptr);
    self->running_ = false;
    self->unexpected_ends_ += self->end_expected_ ? 0 : 1;
    self->record_.Write("daemon " + self->options_.name + ": ended with status " +
                        std::to_string(status) + ", signal " + std::to_string(signal_number));
  };
  process_.data = this;
  end_expected_ = false;
  const int result = uv_spawn(loop_.raw(), &process_, &spawn);
  close(log);
  if (result != 0) {
    std::fprintf(stderr, "cannot start %s: %s\n", binary.c_str(), uv_strerror(result));
    std::exit(kCouldNotRun);
  }
  running_ = true;
  record_.Write("daemon " + options_.name + ": started");
}

void Daemon::Signal(int signal_number) {
  if (!running_) {
    return;
  }
  end_expected_ = end_expected_ || signal_number == SIGKILL || signal_number == SIGTERM;
  record_.Write("daemon " + options_.name + ": gets signal " + std::to_string(signal_number));
  uv_process_kill(&process_, signal_number);
}

Deployment::Deployment(const std::string& record_path, StoreOptions store, std::uint32_t daemons)
    : directory_(MakeDirectory()),
      record_(loop_, record_path),
      store_(loop_, record_, store),
      client_(loop_, {.pool_capacity = 0, .pool_idle_timeout = std::chrono::seconds(1)}),
      random_(std::random_device()()) {
  WriteManifest();
  const std::string subnet = "127." + std::to_string(1 + random_ % 200) + "." +
                             std::to_string(1 + random_ / 256 % 200) + ".";
  for (std::uint32_t i = 0; i < daemons; ++i) {
    daemons_.push_back(std::make_unique<Daemon>(loop_, record_, store_,
                                                DaemonOptions{.ip = subnet + std::to_string(10 + i),
                                                              .name = "front-" + std::to_string(i),
                                                              .zone = "z" + std::to_string(i % 3),
                                                              .directory = directory_}));
  }
  loop_.OnSignal(SIGTERM, [this] {
    for (const auto& daemon : daemons_) {
      daemon->Signal(SIGKILL);
    }
    std::exit(kCouldNotRun);
  });
}

Deployment::~Deployment() {
  daemons_.clear();
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(directory_);
  } else {
    std::fprintf(stderr, "logs are in %s\n", directory_.c_str());
  }
}

void Deployment::WriteManifest() {
  store_.WriteKey(
      "keyed.op", "config",
      R"({"version":1,"routes":[)"
      R"({"name":"kept","host":"h","path_prefix":"/kept/","kind":"streaming","timeout_ms":4000,)"
      R"("slo_ms":200,"priority":0,"service":"engines","max_attempts":1,"retained":true,)"
      R"("retain_s":60.0,"affinity":true,"resumable":false,"gap_aim_ms":300},)"
      R"({"name":"thread","host":"h","path_prefix":"/thread/","kind":"streaming",)"
      R"("timeout_ms":4000,"slo_ms":400,"priority":2,"service":"engines","max_attempts":1,)"
      R"("retained":false,"affinity":true,"resumable":false,"gap_aim_ms":300},)"
      R"({"name":"orders","host":"h","path_prefix":"/orders/","kind":"unsafe","timeout_ms":2000,)"
      R"("slo_ms":250,"priority":2,"service":"tools","max_attempts":1}],)"
      R"("services":[{"name":"engines","health_path":"/health","max_conns":210,"protocol":"h1",)"
      R"("tls":false,"engine":{"slots":24,"kv_capacity":657619,"stride":18}},)"
      R"({"name":"tools","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000}})");
}

Server& Deployment::AddServer(const ServerOptions& options) {
  servers_.push_back(std::make_unique<Server>(loop_, record_, options));
  registry_[options.id] = [server = servers_.back().get()] { return server->RegistryEntry(); };
  return *servers_.back();
}

void Deployment::Crash(Server& server) {
  server.Crash();
  registry_.erase(server.id());
  removals_.push_back(loop_.After(3 * kRegistrationPeriod, [this, id = server.id()] {
    store_.WriteKey("keyed.servers", id, "");
  }));
}

void Deployment::Register(const std::string& id,
                          const std::string& service,
                          const net::Address& address) {
  constexpr std::uint32_t kSlots = 6;
  registry_[id] = [service, address, born_ms = NowMs(), sequence = std::uint64_t{0}]() mutable {
    return MakeRegistryEntry(service, address, "z0", kSlots, born_ms, ++sequence);
  };
}

bool Deployment::StartAll() {
  const auto register_all = [this] {
    for (const auto& [id, make_entry] : registry_) {
      store_.WriteKey("keyed.servers", id, make_entry());
    }
  };
  register_all();
  registration_ = loop_.Every(kRegistrationPeriod, register_all);
  for (const auto& daemon : daemons_) {
    daemon->Start();
  }
  // Partitions still move for three seconds after the start of the last daemon.
  Sleep(std::chrono::seconds(5));
  return WaitUntilServing(std::chrono::seconds(10));
}

bool Deployment::WaitUntilServing(Duration limit) {
  const MonotonicTime until = loop_.Now() + limit;
  for (const auto& daemon : daemons_) {
    while (true) {
      const std::string id = NewId();
      if (Run({.id = id, .program = "probe-" + id, .input = "probe;"}, *daemon).whole) {
        break;
      }
      if (loop_.Now() > until) {
        return false;
      }
      Sleep(std::chrono::milliseconds(200));
    }
  }
  return true;
}

bool Deployment::Wait(const std::function<bool()>& done, Duration limit) {
  const MonotonicTime until = loop_.Now() + limit;
  const net::Timer check = loop_.Every(std::chrono::milliseconds(5), [&] {
    if (done() || loop_.Now() >= until) {
      loop_.Stop();
    }
  });
  loop_.Run();
  return done();
}

void Deployment::Sleep(Duration duration) {
  Wait([] { return false; }, duration);
}

std::string Deployment::NewId() {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%08llx%08llx",
                static_cast<unsigned long long>(random_ & 0xffffffffU),
                static_cast<unsigned long long>(next_id_++));
  return text.data();
}

std::shared_ptr<TurnAnswer> Deployment::Send(const TurnRequest& request, const Daemon& daemon) {
  const auto answer = std::make_shared<TurnAnswer>();
  const auto parser = std::make_shared<net::SseParser>(std::size_t{1} << 20);
  net::HttpClientRequest http{
      .server = daemon.front(),
      .method = "POST",
      .target = request.path,
      .headers = {{"host", "h"},
                  {"acaciaspring-request-id", request.id},
                  {"acaciaspring-deadline-ms", std::to_string(kTurnDeadline.count() / 1000)},
                  {"acaciaspring-program-id", request.program},
                  {"acaciaspring-session-id", request.program},
                  {"acaciaspring-program-deadline-ms",
                   std::to_string(request.program_deadline.count() / 1000)},
                  {"acaciaspring-token-budget", std::to_string(request.budget)},
                  {"acaciaspring-token-usage",
                   "1460," + std::to_string(kMaxEvents * kTokensPerEvent)}},
      .body = request.input,
      .io_timeout = kTurnDeadline + std::chrono::seconds(1),
      .connect_timeout = std::chrono::seconds(1)};
  if (!request.previous_turn.empty()) {
    http.headers.emplace_back("acaciaspring-previous-turn", request.previous_turn);
  }
  record_.Write("caller: sends turn " + request.id + " of program " + request.program + " to " +
                daemon.front().ip + ", previous turn " +
                (request.previous_turn.empty() ? "none" : request.previous_turn) + ", body of " +
                std::to_string(request.input.size()) + " bytes");
  calls_.push_back(client_.Send(
      std::move(http),
      {.on_head =
           [answer](int status, const net::Headers& headers) {
             answer->status = status;
             const std::string retry_after(net::FindHeader(headers, "retry-after"));
             if (!retry_after.empty()) {
               answer->retry_after = std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double>(std::stod(retry_after)));
             }
           },
       .on_data =
           [answer, parser](std::string_view data) {
             if (answer->status != 200) {
               return;
             }
             for (const net::SseEvent& event : parser->Feed(data)) {
               ++answer->events;
               answer->output += event.data + "\n";
             }
           },
       .on_done =
           [this, answer, id = request.id](const net::HttpResult& result) {
             answer->done = true;
             answer->whole =
                 std::holds_alternative<net::HttpFinished>(result) && answer->status == 200;
             record_.Write(
                 "caller: turn " + id + " gets status " + std::to_string(answer->status) + ", " +
                 std::to_string(answer->events) + " events, " +
                 (std::holds_alternative<net::HttpFinished>(result) ? "whole" : "broken off"));
           }}));
  return answer;
}

CallAnswer Deployment::Call(const std::string& id, const Daemon& daemon) {
  constexpr Duration kDeadline = std::chrono::milliseconds(2000);
  net::HttpClientRequest http{.server = daemon.front(),
                              .method = "POST",
                              .target = "/orders/1",
                              .headers = {{"host", "h"},
                                          {"acaciaspring-request-id", id},
                                          {"acaciaspring-deadline-ms", "2000"}},
                              .body = "order " + id,
                              .io_timeout = kDeadline + std::chrono::seconds(1),
                              .connect_timeout = std::chrono::seconds(1)};
  record_.Write("caller: sends order " + id + " to " + daemon.front().ip);
  std::optional<net::HttpReply> reply;
  net::Fetch(client_, std::move(http), std::size_t{1} << 20,
             [&reply](net::HttpReply received) { reply = std::move(received); });
  while (!reply) {
    Wait([&] { return reply.has_value(); }, kDeadline);
  }
  CallAnswer answer{.headers = reply->headers, .body = reply->body};
  if (const auto* finished = std::get_if<net::HttpFinished>(&reply->result)) {
    answer.status = finished->status;
    answer.whole = true;
  }
  record_.Write("caller: order " + id + " gets status " + std::to_string(answer.status) + ", " +
                std::to_string(answer.body.size()) + " bytes, " +
                (answer.whole ? "framed as complete" : "broken off"));
  return answer;
}

TurnAnswer Deployment::Run(const TurnRequest& request, const Daemon& daemon) {
  const auto answer = Send(request, daemon);
  Wait([&] { return answer->done; }, kTurnDeadline + std::chrono::seconds(2));
  return *answer;
}

}  // namespace review
