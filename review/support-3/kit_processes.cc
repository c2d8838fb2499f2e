#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "review/support-3/kit.h"

namespace review {

Server::Server(std::string id, std::string service, int events, Ms event_interval, Record& record)
    : id_(std::move(id)),
      service_(std::move(service)),
      events_(events),
      event_interval_(event_interval),
      record_(record),
      born_ms_(std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
                   .count()),
      listener_(std::make_unique<Listener>("127.0.0.1", 0, [this](const ConnectionPtr& connection) {
        Serve(connection);
      })) {}

std::string Server::Entry() const {
  const std::string state = draining_ ? "draining" : "ready";
  return R"({"service":")" + service_ + R"(","address":")" + listener_->address() +
         R"(","zone":"z0","version":"v1","slots":24,"state":")" + state +
         R"(","cold_left_ms":0,"born":)" + std::to_string(born_ms_) + R"(,"sequence":)" +
         std::to_string(++sequence_) + "}";
}

std::vector<Run> Server::Runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::size_t Server::RunsOf(const std::string& request) const {
  const std::lock_guard lock(mutex_);
  std::size_t count = 0;
  for (const Run& run : runs_) {
    count += run.request == request ? 1 : 0;
  }
  return count;
}

std::string Server::EventData(const std::string& request, int index) {
  return request + "-" + std::to_string(index);
}

std::string Server::OutputOf(const std::string& request) const {
  std::string output;
  for (int i = 0; i < events_; ++i) {
    output += EventData(request, i) + "\n";
  }
  return output;
}

void Server::Serve(const ConnectionPtr& connection) {
  Message message;
  while (connection->ReadRequest(message)) {
    std::istringstream words(message.first_line);
    std::string method;
    std::string path;
    words >> method >> path;
    const std::string request = message.Header("acaciaspring-request-id");
    const std::string echo = "Acaciaspring-Request-Id: " + request + "\r\n";
    const std::string expected = message.Header("acaciaspring-expect-instance");
    if (!expected.empty() && expected != id_) {
      connection->Write("HTTP/1.1 421 M\r\n" + echo +
                        "Acaciaspring-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    {
      const std::lock_guard lock(mutex_);
      runs_.push_back({.server = id_,
                       .request = request,
                       .path = path,
                       .program = message.Header("acaciaspring-program-id"),
                       .previous = message.Header("acaciaspring-previous-turn"),
                       .body = message.body,
                       .deadline_ms = message.Header("acaciaspring-deadline-ms"),
                       .at = Elapsed()});
    }
    const std::string stamp = "Acaciaspring-Server-Stamp: " + id_ + "." + request + "\r\n" +
                              (draining_ ? "Server-Leaving: 1\r\n" : "");
    if (path.starts_with("/turns/")) {
      if (!connection->Write(
              "HTTP/1.1 200 OK\r\n" + echo + stamp +
              "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return;
      }
      for (int i = 0; i < events_; ++i) {
        const std::string event =
            "id: " + std::to_string(i) + "\ndata: " + EventData(request, i) + "\n\n";
        std::ostringstream chunk;
        chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
        if (!connection->Write(chunk.str())) {
          return;
        }
        Sleep(event_interval_);
      }
      if (!connection->Write("0\r\n\r\n")) {
        return;
      }
    } else {
      Sleep(event_interval_);
      const std::string body = "done " + request;
      if (!connection->Write("HTTP/1.1 200 OK\r\n" + echo + stamp + "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }
}

Daemon::Daemon(DaemonOptions options) : options_(std::move(options)) {}

Daemon::~Daemon() {
  Signal(SIGCONT);
  Signal(SIGKILL);
  WaitForExit(Ms(5000));
}

void Daemon::Start() {
  const std::string settings = options_.folder + "/" + name() + ".toml";
  const std::string log = options_.folder + "/" + name() + ".log";
  std::ofstream file(settings);
  file << "node_name = \"" << name() << "\"\nrole = \"gateway\"\nmachine_class = \"front\"\n"
       << "serves = [\"front\", \"directory\"]\nip = \"" << options_.ip << "\"\nzone = \""
       << options_.zone << "\"\nregion = \"r\"\nport_range = [7380, 7395]\nseeds = []\n"
       << "bootstrap = true\nloss_counts = false\ndiscovery = \"platform\"\nentry = \"directory\"\n"
       << "heartbeat_ms = 1200\n"
       << "contracts = [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"agent\", "
          "\"stream\", \"engine\", \"platform\"]\n"
       << "[zones]\nz0 = \"r\"\nz1 = \"r\"\nz2 = \"r\"\n[bind]\nfront = \"" << front()
       << "\"\nready = \"" << ready() << "\"\ndirectory = \"" << directory()
       << "\"\n[limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 520\nmax_fds = 8200\n"
       << "link_mbps = 2000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 1\nzones = 0\n"
       << "regions = 0\n[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\nstable_ms = 3000\n"
       << "ack_ms = 4000\ncatch_up_s = 8\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n"
       << "config_apply_ms = 2000\nrollback_slack_ms = 250\nskew_max_ms = 5000\nrecover_s = 12\n"
       << "pass_ms = 120\nretry_after_s = 0\ndeadline_s = 10\nsettle_ms = 1000\nttl_max_s = 5\n"
       << "[platform]\naddress = \"" << options_.store
       << "\"\nform = \"log\"\nwrites_per_s = 600\nreads_per_s = 2000\nparts = 12\n"
       << "append_ms = 2.0\npart_mb_s = 20.0\nread_mb_s = 80.0\nrecord_bytes = 262144\n"
       << "call_bytes = 2097152\nretain_s = " << options_.retain_s
       << "\npart_mb = 200\nttl_min_ms = 1000\n";
  file.close();
  const std::string variable = "ACACIASPRING_SETTINGS=" + settings;
  const std::string program = "target/acaciaspring_gatewayd";
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  char* const arguments[] = {const_cast<char*>(program.c_str()), nullptr};
  char* const environment[] = {const_cast<char*>(variable.c_str()),
                               const_cast<char*>("PATH=/usr/bin:/bin"), nullptr};
  const std::lock_guard lock(mutex_);
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, 1);
    dup2(output, 2);
    execve(program.c_str(), arguments, environment);
    _exit(127);
  }
  close(output);
}

bool Daemon::running() {
  const std::lock_guard lock(mutex_);
  if (pid_ > 0 && waitpid(pid_, &last_status_, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

void Daemon::Signal(int number) {
  if (running()) {
    const std::lock_guard lock(mutex_);
    kill(pid_, number);
  }
}

bool Daemon::WaitForExit(Ms timeout) {
  for (const Ms end = Elapsed() + timeout; running(); Sleep(Ms(10))) {
    if (Elapsed() > end) {
      return false;
    }
  }
  return true;
}

bool Daemon::WaitUntilReady(Ms timeout) {
  for (const Ms end = Elapsed() + timeout; Elapsed() < end; Sleep(Ms(50))) {
    const auto connection = Connect(ready(), Ms(500));
    Message message;
    if (connection == nullptr) {
      continue;
    }
    connection->SetTimeout(Ms(1000));
    if (connection->Write("GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n") &&
        connection->ReadHead(message) && message.first_line.find(" 200") != std::string::npos) {
      return true;
    }
  }
  return false;
}

std::string Manifest(int version, int retain_s) {
  const std::string retain = std::to_string(retain_s) + ".0";
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"turns","host":"h","path_prefix":"/turns/","kind":"streaming",)"
         R"("timeout_ms":4000,"slo_ms":200,"priority":0,"service":"engines","max_attempts":2,)"
         R"("retained":true,"retain_s":)" +
         retain +
         R"(,"affinity":true,"resumable":false,"gap_aim_ms":300},)"
         R"({"name":"reads","host":"h","path_prefix":"/reads/","kind":"safe","timeout_ms":1200,)"
         R"("slo_ms":80,"priority":0,"service":"tools","max_attempts":2},)"
         R"({"name":"orders","host":"h","path_prefix":"/orders/","kind":"unsafe","timeout_ms":2000,)"
         R"("slo_ms":250,"priority":1,"service":"tools","max_attempts":1}],)"
         R"("services":[{"name":"engines","health_path":"/health","engine":{"stride":10,)"
         R"("kv_capacity":766634}},{"name":"tools","health_path":"/health"}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

}  // namespace review
