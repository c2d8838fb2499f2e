#include "src/daemon/admin_api.h"

#include <glog/logging.h>

#include <charconv>
#include <set>
#include <utility>

#include "src/daemon/http_responses.h"

namespace acaciaspring::daemon {

namespace {

constexpr Duration kStatusTimeout = std::chrono::milliseconds(500);
// If the log has not decided on a configuration change within this time, its result is reported as
// not known.
constexpr Duration kConfigTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxListedPrograms = 1000;

Json::Value DescribeMember(const membership::Member& member) {
  Json::Value out;
  out["daemon"] = member.id.value();
  out["state"] = std::string(membership::ToString(member.state));
  out["zone"] = member.zone.value();
  out["address"] = member.http.ToString();
  out["incarnation"] = Json::UInt64(member.incarnation.value());
  out["revision"] = Json::UInt64(member.revision.value());
  out["ready"] = member.ready;
  return out;
}

Json::Value DescribeProgram(const journal::Program& program) {
  Json::Value out;
  out["program"] = program.id.value();
  out["organisation"] = program.organisation.value();
  out["class"] = program.priority_class.value();
  out["turns"] = program.turn_count.value();
  out["calls"] = program.call_count;
  out["spent_tokens"] = Json::UInt64(program.spent.value());
  out["budget_tokens"] = Json::UInt64(program.budget.value());
  out["ended"] = program.ended;
  return out;
}

Json::Value DescribeDiagnostics(const config::ConfigError& error) {
  Json::Value list = Json::arrayValue;
  for (const config::Diagnostic& diagnostic : error.diagnostics()) {
    Json::Value item;
    item["line"] = Json::UInt64(diagnostic.line);
    item["key"] = diagnostic.key_path;
    item["code"] = std::string(config::ToString(diagnostic.code));
    item["detail"] = diagnostic.detail;
    list.append(item);
  }
  return list;
}

}  // namespace

// A status request of an operator that waits for the replies of the other daemons.
struct AdminApi::StatusQuery {
  net::HttpResponderPtr responder;
  std::set<ExchangeId> outstanding;
  Json::Value daemons = Json::arrayValue;
  net::Timer timer;
};

AdminApi::AdminApi(Context context, const Cluster& cluster, AdminHandlers handlers)
    : context_(context), cluster_(cluster), handlers_(std::move(handlers)) {}

void AdminApi::Handle(const net::HttpRequest& request, net::HttpResponderPtr responder) {
  const bool is_get = request.method == "GET";
  const bool is_post = request.method == "POST";
  if (request.path == "/v1/admin/status" && is_get) {
    return CollectStatus(std::move(responder));
  }
  if (request.path == "/v1/admin/config" && is_get) {
    return RespondConfig(*responder);
  }
  if (request.path == "/v1/admin/config" && is_post) {
    return ChangeConfig(request, std::move(responder));
  }
  if (request.path == "/v1/admin/programs" && is_get) {
    return RespondPrograms(request, *responder);
  }
  if (request.path == "/v1/admin/drain" && is_post) {
    RespondJson(*responder, 202, "{\"draining\":true}");
    return handlers_.drain();
  }
  RespondError(*responder, RequestError::kNotFound, "unknown operator resource or method");
}

Json::Value AdminApi::LocalStatus() const {
  const journal::State& state = context_.journal.state();
  const journal::JournalCounters& counters = context_.journal.counters();
  Json::Value out = handlers_.local_status();
  out["daemon"] = context_.settings.daemon.value();
  out["zone"] = context_.settings.zone.value();
  out["incarnation"] = Json::UInt64(context_.incarnation.value());
  out["revision"] = Json::UInt64(state.revision().value());
  out["leaving"] = cluster_.leaving();
  out["owned_shards"] = Json::UInt64(cluster_.owned_shards());
  out["log"]["available"] = context_.journal.available();
  out["log"]["caught_up"] = context_.journal.caught_up();
  out["log"]["applied_offset"] = Json::UInt64(state.applied_offset().value());
  out["log"]["appends"] = Json::UInt64(counters.appends);
  out["log"]["append_retries"] = Json::UInt64(counters.append_retries);
  out["log"]["pending_records"] = Json::UInt64(context_.journal.pending_records());
  out["programs"] = Json::UInt64(state.live_program_count());
  out["budget_violations"] = Json::UInt64(state.counters().budget_violations);
  out["rejected_records"] = Json::UInt64(state.counters().rejected);
  return out;
}

void AdminApi::CollectStatus(net::HttpResponderPtr responder) {
  auto query = std::make_shared<StatusQuery>();
  query->responder = std::move(responder);
  query->daemons.append(LocalStatus());
  for (const membership::Member& member : cluster_.members()) {
    if (member.id == context_.settings.daemon || member.state == membership::MemberState::kDead) {
      continue;
    }
    const auto channel = context_.peers.ChannelTo(member.id);
    if (channel.has_value()) {
      const ExchangeId exchange = ++last_exchange_;
      query->outstanding.insert(exchange);
      status_queries_[exchange] = query;
      context_.peers.Send(*channel, wire::StatusRequest{exchange});
    }
  }
  query->timer = context_.loop.After(kStatusTimeout, [this, query] { FinishStatus(query); });
  if (query->outstanding.empty()) {
    FinishStatus(query);
  }
}

void AdminApi::FinishStatus(const std::shared_ptr<StatusQuery>& query) {
  for (const ExchangeId exchange : query->outstanding) {
    status_queries_.erase(exchange);
  }
  Json::Value document;
  document["members"] = Json::arrayValue;
  for (const membership::Member& member : cluster_.members()) {
    document["members"].append(DescribeMember(member));
  }
  document["daemons"] = query->daemons;
  RespondJson(*query->responder, 200, FormatJson(document));
  query->timer.Cancel();
}

void AdminApi::OnStatusRequest(ChannelId channel, const wire::StatusRequest& request) {
  context_.peers.Send(channel, wire::StatusReply{request.exchange, FormatJson(LocalStatus())});
}

void AdminApi::OnStatusReply(const wire::StatusReply& reply) {
  const auto found = status_queries_.find(reply.exchange);
  if (found == status_queries_.end()) {
    return;
  }
  const std::shared_ptr<StatusQuery> query = found->second;
  status_queries_.erase(found);
  query->outstanding.erase(reply.exchange);
  if (const auto status = ParseJson(reply.document)) {
    query->daemons.append(*status);
  }
  if (query->outstanding.empty()) {
    FinishStatus(query);
  }
}

void AdminApi::RespondConfig(net::HttpResponder& responder) const {
  const journal::State& state = context_.journal.state();
  Json::Value document;
  document["revision"] = Json::UInt64(state.revision().value());
  document["document"] = ParseJson(state.document()).value_or(Json::objectValue);
  RespondJson(responder, 200, FormatJson(document));
}

void AdminApi::ChangeConfig(const net::HttpRequest& request, net::HttpResponderPtr responder) {
  const auto body = ParseJson(request.body);
  if (!body.has_value() || !body->isObject() || !(*body)["base"].isUInt64() ||
      !(*body)["document"].isObject()) {
    return RespondError(
        *responder, RequestError::kInvalidField,
        "the body must have the fields \"base\" (a revision) and \"document\" (an object)");
  }
  journal::ConfigChanged record;
  try {
    const config::Document parsed = config::ParseDocument(FormatJson((*body)["document"]));
    record.document = config::CanonicalText(parsed);
  } catch (const config::ConfigError& error) {
    Json::Value response;
    response["error"]["code"] = "invalid_configuration";
    response["error"]["outcome"] = "not_run";
    response["error"]["diagnostics"] = DescribeDiagnostics(error);
    return RespondJson(*responder, 400, FormatJson(response));
  }
  record.base = Revision((*body)["base"].asUInt64());
  record.author = std::string(net::FindHeader(request.headers, "x-author")).substr(0, 64);

  auto responded = std::make_shared<bool>(false);
  auto timer = std::make_shared<net::Timer>();
  const auto respond = [this, responder, responded, timer](int status, const std::string& result,
                                                           const std::string& outcome) {
    if (std::exchange(*responded, true)) {
      return;
    }
    Json::Value response;
    response["result"] = result;
    response["revision"] = Json::UInt64(context_.journal.state().revision().value());
    if (!outcome.empty()) {
      response["error"]["code"] = result;
      response["error"]["outcome"] = outcome;
    }
    RespondJson(*responder, status, FormatJson(response));
    timer->Cancel();
  };
  const auto result =
      context_.journal.Append(std::move(record), [respond](const journal::Verdict& verdict) {
        const auto* rejected = std::get_if<journal::Rejected>(&verdict);
        if (rejected == nullptr) {
          respond(200, "accepted", "");
        } else if (rejected->reason == journal::RejectReason::kUndecided) {
          respond(504, "not_known", "unknown");
        } else {
          respond(409, "conflict", "not_run");
        }
      });
  if (!std::holds_alternative<journal::RecordId>(result)) {
    return respond(503, "queue_full", "not_run");
  }
  *timer = context_.loop.After(kConfigTimeout, [respond] { respond(504, "not_known", "unknown"); });
}

void AdminApi::RespondPrograms(const net::HttpRequest& request,
                               net::HttpResponder& responder) const {
  const bool with_ended = net::FindQueryParameter(request, "ended") == "1";
  Json::Value document;
  document["programs"] = Json::arrayValue;
  std::size_t total = 0;
  for (const journal::Program* program : context_.journal.state().Programs()) {
    if (program->ended && !with_ended) {
      continue;
    }
    if (++total <= kMaxListedPrograms) {
      document["programs"].append(DescribeProgram(*program));
    }
  }
  document["total"] = Json::UInt64(total);
  RespondJson(responder, 200, FormatJson(document));
}

void AdminApi::UpdateGauges() {
  const journal::State& state = context_.journal.state();
  const journal::JournalCounters& counters = context_.journal.counters();
  telemetry::Registry& metrics = context_.metrics;
  const auto set_gauge = [&](const char* name, const char* help, double value) {
    metrics.GetGauge(name, help).Set(value);
  };
  set_gauge("acaciaspring_revision", "Configuration revision in force",
            static_cast<double>(state.revision().value()));
  set_gauge("acaciaspring_owned_shards", "Shards owned by this daemon",
            static_cast<double>(cluster_.owned_shards()));
  set_gauge("acaciaspring_programs", "Programs that have not ended",
            static_cast<double>(state.live_program_count()));
  set_gauge("acaciaspring_log_available", "1 while the log is available, otherwise 0",
            context_.journal.available() ? 1 : 0);
  set_gauge("acaciaspring_log_applied_offset", "Last log offset that was applied",
            static_cast<double>(state.applied_offset().value()));
  set_gauge("acaciaspring_log_pending_records", "Records whose verdict is pending",
            static_cast<double>(context_.journal.pending_records()));
  set_gauge("acaciaspring_log_appends", "Appends sent to the log",
            static_cast<double>(counters.appends));
  set_gauge("acaciaspring_log_append_retries", "Appends that were retried",
            static_cast<double>(counters.append_retries));
  set_gauge("acaciaspring_rejected_records", "Records that were rejected when they were applied",
            static_cast<double>(state.counters().rejected));
  const net::DropCounters& drops = context_.peers.drops();
  set_gauge(
      "acaciaspring_frames_dropped", "Dropped frames between daemons",
      static_cast<double>(drops.bad_mac + drops.oversized + drops.malformed + drops.replayed));
}

}  // namespace acaciaspring::daemon
