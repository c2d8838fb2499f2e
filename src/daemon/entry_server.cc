#include "src/daemon/entry_server.h"

#include <openssl/crypto.h>

#include <memory>
#include <utility>

#include "src/daemon/call_parser.h"
#include "src/daemon/http_responses.h"
#include "src/daemon/json.h"

namespace acaciaspring::daemon {

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kMaxKeyBytes = 200;

std::vector<std::string_view> SplitPath(std::string_view path) {
  std::vector<std::string_view> segments;
  while (!path.empty()) {
    path.remove_prefix(1);
    const std::size_t end = std::min(path.find('/'), path.size());
    segments.push_back(path.substr(0, end));
    path.remove_prefix(end);
  }
  return segments;
}

std::string_view BearerToken(const net::HttpRequest& request) {
  const std::string_view header = net::FindHeader(request.headers, "authorization");
  return header.starts_with(kBearerPrefix) ? header.substr(kBearerPrefix.size()) : "";
}

net::HttpServerOptions MakeServerOptions(const Context& context) {
  net::HttpServerOptions options;
  options.listen = ToAddress(context.settings.http);
  return options;
}

}  // namespace

EntryServer::EntryServer(Context context, Cluster& cluster, CallRelay& relay, AdminApi& admin)
    : context_(context),
      cluster_(cluster),
      relay_(relay),
      admin_(admin),
      server_(context.loop,
              MakeServerOptions(context),
              [this](net::HttpRequest request, net::HttpResponderPtr responder) {
                Handle(std::move(request), std::move(responder));
              }) {}

void EntryServer::OnConfiguration() {
  organisations_by_key_.clear();
  for (const auto& [id, organisation] : context_.document.organisations) {
    organisations_by_key_[organisation.key] = id;
  }
}

void EntryServer::Handle(net::HttpRequest request, net::HttpResponderPtr responder) {
  const Segments segments = SplitPath(request.path);
  if (request.path == "/healthz") {
    return RespondJson(*responder, 200, "{\"status\":\"ok\"}");
  }
  if (request.path == "/readyz") {
    return RespondJson(*responder, ready_ ? 200 : 503,
                       ready_ ? "{\"ready\":true}" : "{\"ready\":false}");
  }
  if (request.path == "/metrics") {
    admin_.UpdateGauges();
    return responder->Respond(200, {{"content-type", std::string(telemetry::kMetricsContentType)}},
                              context_.metrics.Text());
  }
  if (request.path == "/v1/entries") {
    return RespondEntries(*responder);
  }
  if (segments.size() >= 3 && segments[0] == "v1" && segments[1] == "admin") {
    const std::string_view token = BearerToken(request);
    const std::string& key = context_.settings.operator_key;
    if (token.size() != key.size() || CRYPTO_memcmp(token.data(), key.data(), key.size()) != 0) {
      return RespondError(*responder, RequestError::kUnauthorized, "the operator key is wrong");
    }
    return admin_.Handle(request, std::move(responder));
  }
  if (segments.size() >= 2 && segments[0] == "v1" && segments[1] == "programs") {
    return HandlePrograms(request, segments, responder);
  }
  RespondError(*responder, RequestError::kNotFound, "unknown resource");
}

std::optional<OrganisationId> EntryServer::Authenticate(const net::HttpRequest& request) const {
  const auto found = organisations_by_key_.find(std::string(BearerToken(request)));
  return found == organisations_by_key_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<wire::Operation> EntryServer::ParseOperation(const net::HttpRequest& request,
                                                           const Segments& segments,
                                                           net::HttpResponder& responder) const {
  const config::Document& document = context_.document;
  const bool is_post = request.method == "POST";
  const bool is_get = request.method == "GET";
  try {
    if (segments.size() == 2 && is_post) {
      return ParseCreateProgram(request.body, document);
    }
    if (segments.size() == 3 && is_get) {
      return wire::DescribeProgram{};
    }
    if (segments.size() == 3 && request.method == "DELETE") {
      return wire::EndProgram{};
    }
    if (segments.size() == 4 && segments[3] == "history" && is_get) {
      return wire::ReadHistory{};
    }
    if (segments.size() == 5 && segments[3] == "chat" && segments[4] == "completions" && is_post) {
      return ParseModelCall(request.body, document);
    }
    if (segments.size() == 5 && segments[3] == "tools" && is_post) {
      return ParseToolCall(segments[4], request.body, document);
    }
  } catch (const CallParseError& error) {
    RespondError(responder, error.error(), error.what());
    return std::nullopt;
  }
  RespondError(responder, RequestError::kNotFound, "unknown resource or method");
  return std::nullopt;
}

void EntryServer::HandlePrograms(const net::HttpRequest& request,
                                 const Segments& segments,
                                 const net::HttpResponderPtr& responder) {
  if (!ready_) {
    return RespondError(*responder, RequestError::kNotReady,
                        "this daemon has no configuration yet or is shutting down");
  }
  const auto organisation = Authenticate(request);
  if (!organisation.has_value()) {
    return RespondError(*responder, RequestError::kUnauthorized, "the organisation key is wrong");
  }
  auto operation = ParseOperation(request, segments, *responder);
  if (!operation.has_value()) {
    return;
  }
  wire::CallRequest call;
  call.organisation = *organisation;
  call.key = IdempotencyKey(std::string(net::FindHeader(request.headers, "idempotency-key")));
  const bool is_read = request.method == "GET";
  if (!is_read && (call.key.empty() || call.key.value().size() > kMaxKeyBytes)) {
    if (request.method != "DELETE") {
      return RespondError(*responder, RequestError::kMissingKey,
                          "the Idempotency-Key header is missing or too long");
    }
    call.key = IdempotencyKey("end");
  }
  call.program = segments.size() == 2 ? MakeProgramId(call.organisation, call.key)
                                      : ProgramId(std::string(segments[2]));
  call.operation = std::move(*operation);
  call.deadline_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(context_.settings.call_deadline)
          .count());
  call.resume = ParseEventId(net::FindHeader(request.headers, "last-event-id"));
  call.traceparent = std::string(net::FindHeader(request.headers, "traceparent"));
  relay_.Start(std::move(call), responder);
}

void EntryServer::RespondEntries(net::HttpResponder& responder) const {
  Json::Value document;
  document["ttl_ms"] = Json::Int64(
      std::chrono::duration_cast<std::chrono::milliseconds>(context_.settings.entries_ttl).count());
  document["entries"] = Json::arrayValue;
  for (const membership::Member& member : cluster_.members()) {
    if (!placement::IsEligible(member)) {
      continue;
    }
    Json::Value entry;
    entry["address"] = member.http.ToString();
    entry["zone"] = member.zone.value();
    document["entries"].append(entry);
  }
  RespondJson(responder, 200, FormatJson(document));
}

}  // namespace acaciaspring::daemon
