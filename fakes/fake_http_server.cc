#include "fakes/fake_http_server.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <sstream>
#include <utility>

namespace acaciaspring::fakes {

namespace {

// Limits the memory of a fake whose clients keep sending calls while it does not respond.
constexpr std::size_t kMaxHeldCalls = 20000;

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> segments;
  std::istringstream input(path);
  std::string segment;
  while (std::getline(input, segment, '/')) {
    if (!segment.empty()) {
      segments.push_back(segment);
    }
  }
  return segments;
}

bool Match(const std::vector<std::string>& pattern,
           const std::vector<std::string>& path,
           std::vector<std::string>& parameters) {
  if (pattern.size() != path.size()) {
    return false;
  }
  parameters.clear();
  for (std::size_t index = 0; index < pattern.size(); ++index) {
    if (pattern[index].starts_with('{')) {
      parameters.push_back(path[index]);
    } else if (pattern[index] != path[index]) {
      return false;
    }
  }
  return true;
}

std::vector<std::string> WithCommonFaults(std::vector<std::string> names) {
  for (const char* name : {"delay_ms", "freeze", "outage", "refuse"}) {
    names.emplace_back(name);
  }
  return names;
}

}  // namespace

std::uint64_t QueryNumber(const net::HttpRequest& request,
                          std::string_view name,
                          std::uint64_t fallback) {
  const std::string_view text = net::FindQueryParameter(request, name);
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() ? value : fallback;
}

void RespondJson(const net::HttpResponderPtr& responder, int status, const Json::Value& value) {
  responder->Respond(status, {{"content-type", "application/json"}}, WriteJson(value));
}

void RespondError(const net::HttpResponderPtr& responder,
                  int status,
                  const std::string& code,
                  const std::string& message) {
  Json::Value body;
  body["error"]["code"] = code;
  body["error"]["message"] = message;
  RespondJson(responder, status, body);
}

bool RateLimiter::Allow(MonotonicTime now) {
  if (per_second_ <= 0) {
    return true;
  }
  const double elapsed = std::chrono::duration<double>(now - updated_).count();
  updated_ = now;
  tokens_ = std::min(std::max(1.0, per_second_ / 10), tokens_ + elapsed * per_second_);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

FakeHttpServer::FakeHttpServer(net::Loop& loop,
                               const net::Address& listen,
                               std::vector<std::string> fault_names)
    : loop_(loop),
      faults_(WithCommonFaults(std::move(fault_names))),
      server_(loop,
              net::HttpServerOptions{.listen = listen,
                                     .max_body_bytes = std::size_t{16} << 20,
                                     .io_timeout = std::chrono::seconds(120)},
              [this](net::HttpRequest request, net::HttpResponderPtr responder) {
                Handle(std::move(request), std::move(responder));
              }) {}

void FakeHttpServer::Route(std::string method, const std::string& pattern, Handler handler) {
  routes_.push_back({std::move(method), SplitPath(pattern), std::move(handler)});
}

void FakeHttpServer::OnStats(std::function<void(Json::Value& stats)> callback) {
  on_stats_ = std::move(callback);
}

void FakeHttpServer::OnFaultsChanged(std::function<void()> callback) {
  on_faults_changed_.push_back(std::move(callback));
}

void FakeHttpServer::Count(std::string_view name, std::uint64_t amount) {
  counters_[std::string(name)] += amount;
}

void FakeHttpServer::RecordMaximum(std::string_view name, std::uint64_t value) {
  std::uint64_t& counter = counters_[std::string(name)];
  counter = std::max(counter, value);
}

void FakeHttpServer::LeaveUnanswered(const net::HttpResponderPtr& responder) {
  std::erase_if(unanswered_calls_,
                [](const net::HttpResponderPtr& held) { return held->closed(); });
  if (unanswered_calls_.size() < kMaxHeldCalls) {
    unanswered_calls_.push_back(responder);
  }
}

void FakeHttpServer::After(Duration delay, std::function<void()> callback) {
  const std::uint64_t id = next_timer_id_++;
  timers_[id] = loop_.After(delay, [this, id, callback = std::move(callback)] {
    // The timer owns this closure. It is moved out of the map, so that the closure lives until the
    // callback returns.
    const std::function<void()> run = callback;
    const net::Timer fired = std::move(timers_[id]);
    timers_.erase(id);
    run();
  });
}

void FakeHttpServer::Handle(net::HttpRequest request, net::HttpResponderPtr responder) {
  if (HandleControl(request, responder)) {
    return;
  }
  Call call{std::move(request), std::move(responder), {}};
  if (faults_.IsOn("freeze")) {
    if (frozen_calls_.size() < kMaxHeldCalls) {
      frozen_calls_.push_back(std::move(call));
    }
    return;
  }
  if (faults_.IsOn("outage") || faults_.IsOn("refuse")) {
    Count("refused");
    RespondError(call.responder, 503, "unavailable", "call refused by a fault switch");
    return;
  }
  if (const std::int64_t delay = faults_.Value("delay_ms"); delay > 0) {
    After(std::chrono::milliseconds(delay), [this, call = std::move(call)] { Dispatch(call); });
    return;
  }
  Dispatch(call);
}

bool FakeHttpServer::HandleControl(const net::HttpRequest& request,
                                   const net::HttpResponderPtr& responder) {
  if (request.path == "/faults") {
    ApplyFaults(request, responder);
    return true;
  }
  if (request.path == "/stats") {
    Json::Value stats(Json::objectValue);
    for (const auto& [name, value] : counters_) {
      stats[name] = static_cast<Json::UInt64>(value);
    }
    if (on_stats_) {
      on_stats_(stats);
    }
    RespondJson(responder, 200, stats);
    return true;
  }
  return false;
}

void FakeHttpServer::ApplyFaults(const net::HttpRequest& request,
                                 const net::HttpResponderPtr& responder) {
  if (request.method == "POST") {
    const std::optional<Json::Value> body = ParseJson(request.body);
    const std::string error = body ? faults_.Apply(*body) : "the body is not JSON";
    if (!error.empty()) {
      RespondError(responder, 400, "invalid_fault", error);
      return;
    }
    for (const auto& callback : on_faults_changed_) {
      callback();
    }
    if (!faults_.IsOn("freeze")) {
      for (const Call& call : std::exchange(frozen_calls_, {})) {
        Dispatch(call);
      }
    }
  }
  RespondJson(responder, 200, faults_.ToJson());
}

void FakeHttpServer::Dispatch(const Call& call) {
  const std::vector<std::string> segments = SplitPath(call.request.path);
  Call matched = call;
  bool path_known = false;
  for (const RouteEntry& route : routes_) {
    if (!Match(route.segments, segments, matched.parameters)) {
      continue;
    }
    path_known = true;
    if (route.method != call.request.method) {
      continue;
    }
    try {
      route.handler(matched);
    } catch (const Json::Exception& error) {
      // JsonCpp throws if a field does not have the type that the handler reads.
      RespondError(call.responder, 400, "invalid_body", error.what());
    }
    return;
  }
  RespondError(call.responder, path_known ? 405 : 404, "no_route",
               call.request.method + " " + call.request.path);
}

}  // namespace acaciaspring::fakes
