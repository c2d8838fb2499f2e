#include <algorithm>
#include <utility>

#include "src/gateway/credentials.h"
#include "src/gateway/gateway_impl.h"

namespace acaciaspring::gateway {

namespace {

// By then a daemon has read its first configuration, unless the store is unavailable.
constexpr Duration kConfigurationRetryAfter = std::chrono::milliseconds(200);

std::size_t HeaderBytes(const net::Headers& headers) {
  std::size_t bytes = 0;
  for (const auto& [name, value] : headers) {
    bytes += name.size() + value.size() + 4;
  }
  return bytes;
}

}  // namespace

std::optional<HttpError> Gateway::Impl::Validate(const CallerRequest& request,
                                                 const Route* route) const {
  if (!configuration) {
    return HttpError{
        .status = 503, .reason = "no_configuration", .retry_after = kConfigurationRetryAfter};
  }
  if (HeaderBytes(request.headers) > configuration->limits.max_header_bytes) {
    return HttpError{.status = 431, .reason = "headers_too_large"};
  }
  if (request.id.empty()) {
    return HttpError{.status = 400, .reason = "no_request_id"};
  }
  if (route == nullptr || route->services.empty()) {
    return HttpError{.status = 404, .reason = "no_route"};
  }
  return std::nullopt;
}

Duration Gateway::Impl::TimeoutFor(const CallerRequest& request, const Route& route) const {
  return std::min(request.deadline.value_or(route.timeout), route.timeout);
}

void Gateway::Impl::Handle(CallerRequest request, net::HttpResponderPtr responder) {
  auto sink = std::make_shared<CallerSink>(context, request, std::move(responder));
  const Route* route = routes == nullptr ? nullptr : routes->Find(request.host, request.path);
  if (const auto error = Validate(request, route)) {
    sink->SendError(*error);
    return;
  }
  sink->SetRoute(route->name, configuration->version);
  if (stop_plan && !stop_plan->Admits(context.loop.Now(), TimeoutFor(request, *route))) {
    sink->SendError({.status = 503, .reason = "stopping"});
    return;
  }
  if (!context.buffers.AcceptRequest()) {
    sink->SendError(MakeMemoryError());
    return;
  }
  std::uint32_t priority = route->priority;
  if (context.caller_keys.required()) {
    if (const auto error = Authorise(context, *route, request, priority)) {
      sink->SendError(*error);
      return;
    }
    if (request.credential) {
      sink->SetOrganisation(request.credential->organisation);
    }
  }
  const bool is_turn = request.program && (request.program->budget || route->retained);
  if (is_turn) {
    HandleTurn(*route, priority, std::move(request), std::move(sink));
  } else {
    HandleCall(*route, priority, std::move(request), std::move(sink));
  }
}

void Gateway::Impl::HandleTurn(const Route& route,
                               std::uint32_t priority,
                               CallerRequest request,
                               std::shared_ptr<CallerSink> sink) {
  const ServiceId service = ChooseService(route, request.program->session.value());
  const auto known = services.find(service);
  TurnRequest turn{
      .id = request.id,
      .service = service,
      .kind = route.kind,
      .priority = priority,
      .max_attempts = route.max_attempts,
      .retained = route.retained,
      .retention_us = route.retention.count(),
      .tokens_per_event = known == services.end() ? TokenCount(1) : known->second.tokens_per_event,
      .remaining_us = TimeoutFor(request, route).count(),
      .program = *request.program,
      .prompt = request.prompt,
      .credential = std::move(request.credential),
      .method = std::move(request.method),
      .target = std::move(request.target),
      .headers = std::move(request.headers),
      .body = std::move(request.body)};
  const ExchangeId id = router.Submit(std::move(turn), sink);
  sink->OnCallerGone([this, id] { router.Cancel(id); });
}

void Gateway::Impl::HandleCall(const Route& route,
                               std::uint32_t priority,
                               CallerRequest request,
                               std::shared_ptr<CallerSink> sink) {
  CallPlan plan{.id = request.id,
                .service = ChooseService(route, request.id.value()),
                .kind = route.kind,
                .priority = priority,
                .max_attempts = route.max_attempts,
                .method = std::move(request.method),
                .target = std::move(request.target),
                .headers = std::move(request.headers),
                .body = std::move(request.body),
                .deadline = context.loop.Now() + TimeoutFor(request, route),
                .prompt = request.prompt,
                .credential = std::move(request.credential),
                .program_started = request.program.has_value()};
  const auto response_started = std::make_shared<bool>(false);
  const auto self = std::make_shared<std::weak_ptr<EndpointCall>>();
  const auto call = std::make_shared<EndpointCall>(
      context, std::move(plan),
      CallCallbacks{.on_head =
                        [sink, response_started](int status, const net::Headers& headers) {
                          *response_started = true;
                          sink->Head(status, headers);
                        },
                    .on_data = [sink](std::string_view data) { sink->Data(data); },
                    .on_done =
                        [this, sink, response_started, self](const Outcome& outcome) {
                          if (std::holds_alternative<Completed>(outcome)) {
                            sink->End();
                          } else {
                            Fail(*sink, *response_started, MakeHttpError(outcome));
                          }
                          // Keeps the call alive until its current callback returns.
                          context.loop.Post([live = self->lock()] {});
                          calls.erase(self->lock());
                        }});
  *self = call;
  calls.insert(call);
  sink->OnCallerGone([this, self] {
    if (const auto live = self->lock()) {
      live->Cancel();
      calls.erase(live);
    }
  });
  call->Start();
}

}  // namespace acaciaspring::gateway
