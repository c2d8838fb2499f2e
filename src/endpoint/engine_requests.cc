#include <utility>

#include "acaciaspring/endpoint.h"
#include "src/endpoint/json.h"
#include "src/endpoint/response.h"

namespace acaciaspring::endpoint {

namespace {

// Large enough for the holds of several thousand programs or a page of cache events.
constexpr std::size_t kMaxResponseBytes = std::size_t{4} << 20;

net::HttpClientRequest MakeGetRequest(const RequestOptions& options, std::string target) {
  return {.server = options.endpoint, .target = std::move(target)};
}

net::HttpClientRequest MakePostRequest(const RequestOptions& options,
                                       std::string target,
                                       const Json::Value& body) {
  return {.server = options.endpoint,
          .method = "POST",
          .target = std::move(target),
          .headers = {{"content-type", "application/json"}},
          .body = WriteJson(body)};
}

Json::Value MakeProgramBody(const ProgramId& program) {
  Json::Value body(Json::objectValue);
  body["program"] = program.value();
  return body;
}

/// @brief Sends a request and converts the JSON body of the response with
/// `parse(const Json::Value&) -> std::optional<Result>`. An empty body counts as an empty object.
template <class Result, class Parse>
CallPtr SendJsonRequest(net::HttpClient& client,
                        const RequestOptions& options,
                        net::HttpClientRequest request,
                        Parse parse,
                        OnReply<Result> on_reply) {
  return Execute(client, std::move(request), options.timeout, kMaxResponseBytes,
                 [parse, on_reply = std::move(on_reply)](const Response& response) {
                   if (!IsSuccess(response)) {
                     on_reply(ToRequestFailure(response));
                     return;
                   }
                   const auto body = ParseJson(response.body.empty() ? "{}" : response.body);
                   std::optional<Result> result;
                   if (body) {
                     result = parse(*body);
                   }
                   if (result) {
                     on_reply(std::move(*result));
                   } else {
                     on_reply(ToRequestFailure(response));
                   }
                 });
}

std::optional<EngineLoad> ParseLoad(const Json::Value& body) {
  const auto running = UnsignedMember(body, "running");
  const auto waiting = UnsignedMember(body, "waiting");
  const auto kv_used = UnsignedMember(body, "kv_used");
  const auto kv_capacity = UnsignedMember(body, "kv_capacity");
  const auto sampled_at = UnsignedMember(body, "sampled_at_ms");
  if (!running || !waiting || !kv_used || !kv_capacity || !sampled_at) {
    return std::nullopt;
  }
  const Json::Value& leaving = Member(body, "leaving");
  return EngineLoad{
      .running = static_cast<std::uint32_t>(*running),
      .waiting = static_cast<std::uint32_t>(*waiting),
      .kv_used = TokenCount(*kv_used),
      .kv_capacity = TokenCount(*kv_capacity),
      .leaving = leaving.isBool() && leaving.asBool(),
      .sampled_at = WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(*sampled_at)))};
}

/// @brief Returns the body if it is an array, otherwise its member `name`. Both forms are accepted.
const Json::Value& FindList(const Json::Value& body, const char* name) {
  return body.isArray() ? body : Member(body, name);
}

std::optional<std::vector<Hold>> ParseHolds(const Json::Value& body) {
  const Json::Value& list = FindList(body, "holds");
  if (!list.isArray()) {
    return std::nullopt;
  }
  std::vector<Hold> holds;
  for (const Json::Value& entry : list) {
    // An entry is the program id as a string or an object with the member `program`.
    Hold hold{
        .program = ProgramId(entry.isString() ? entry.asString() : StringMember(entry, "program")),
        .tokens = TokenCount(UnsignedMember(entry, "tokens").value_or(0))};
    if (hold.program.empty()) {
      return std::nullopt;
    }
    holds.push_back(std::move(hold));
  }
  return holds;
}

std::optional<CacheTransferred> ParseCacheTransferred(const Json::Value& body) {
  return CacheTransferred{.tokens = TokenCount(UnsignedMember(body, "tokens").value_or(0))};
}

std::optional<CacheEvent> ParseCacheEvent(const Json::Value& entry) {
  const auto sequence = UnsignedMember(entry, "sequence");
  const std::string kind = StringMember(entry, "kind");
  if (!sequence || (kind != "stored" && kind != "evicted")) {
    return std::nullopt;
  }
  return CacheEvent{
      .sequence = *sequence,
      .kind = kind == "stored" ? CacheEvent::Kind::kStored : CacheEvent::Kind::kEvicted,
      .program = ProgramId(StringMember(entry, "program")),
      .prefix = StringMember(entry, "prefix"),
      .tokens = TokenCount(UnsignedMember(entry, "tokens").value_or(0))};
}

std::optional<CacheEvents> ParseCacheEvents(const Json::Value& body) {
  const auto first = UnsignedMember(body, "first");
  const auto next = UnsignedMember(body, "next");
  const Json::Value& list = Member(body, "events");
  if (!first || !next || !list.isArray()) {
    return std::nullopt;
  }
  CacheEvents result{.first = *first, .next = *next, .events = {}};
  for (const Json::Value& entry : list) {
    auto event = ParseCacheEvent(entry);
    if (!event) {
      return std::nullopt;
    }
    result.events.push_back(std::move(*event));
  }
  return result;
}

Json::Value MakeOrderBody(const Order& order) {
  Json::Value body(Json::objectValue);
  body["fence"] = Json::UInt64{order.fence.value()};
  body["model"] = order.model.value();
  body["adapter"] = order.adapter;
  body["version"] = order.version;
  body["role"] = order.role;
  return body;
}

std::optional<Order> ParseOrder(const Json::Value& body) {
  const auto fence = UnsignedMember(body, "fence");
  if (!fence) {
    return std::nullopt;
  }
  return Order{.fence = Offset(*fence),
               .model = ModelId(StringMember(body, "model")),
               .adapter = StringMember(body, "adapter"),
               .version = StringMember(body, "version"),
               .role = StringMember(body, "role")};
}

}  // namespace

CallPtr FetchLoad(net::HttpClient& client,
                  const RequestOptions& options,
                  OnReply<EngineLoad> on_reply) {
  return SendJsonRequest<EngineLoad>(client, options, MakeGetRequest(options, "/load"), ParseLoad,
                                     std::move(on_reply));
}

CallPtr ListHolds(net::HttpClient& client,
                  const RequestOptions& options,
                  OnReply<std::vector<Hold>> on_reply) {
  return SendJsonRequest<std::vector<Hold>>(client, options, MakeGetRequest(options, "/kv/holds"),
                                            ParseHolds, std::move(on_reply));
}

CallPtr ReleaseHold(net::HttpClient& client,
                    const RequestOptions& options,
                    const ProgramId& program,
                    OnReply<HoldReleased> on_reply) {
  return Execute(
      client, MakePostRequest(options, "/kv/release", MakeProgramBody(program)), options.timeout,
      kMaxResponseBytes, [on_reply = std::move(on_reply)](const Response& response) {
        if (IsSuccess(response)) {
          on_reply(HoldReleased{.was_held = true});
        } else if (const RequestFailure failure = ToRequestFailure(response);
                   failure.kind == RequestFailure::Kind::kRefused && failure.status == 404) {
          // Already released, for example by an earlier request whose response was lost.
          on_reply(HoldReleased{.was_held = false});
        } else {
          on_reply(failure);
        }
      });
}

CallPtr ExportCache(net::HttpClient& client,
                    const RequestOptions& options,
                    const ProgramId& program,
                    OnReply<CacheTransferred> on_reply) {
  return SendJsonRequest<CacheTransferred>(
      client, options, MakePostRequest(options, "/kv/export", MakeProgramBody(program)),
      ParseCacheTransferred, std::move(on_reply));
}

CallPtr ImportCache(net::HttpClient& client,
                    const RequestOptions& options,
                    const ProgramId& program,
                    OnReply<CacheTransferred> on_reply) {
  return SendJsonRequest<CacheTransferred>(
      client, options, MakePostRequest(options, "/kv/import", MakeProgramBody(program)),
      ParseCacheTransferred, std::move(on_reply));
}

CallPtr FetchCacheEvents(net::HttpClient& client,
                         const RequestOptions& options,
                         std::uint64_t from,
                         OnReply<CacheEvents> on_reply) {
  return SendJsonRequest<CacheEvents>(
      client, options, MakeGetRequest(options, "/cache/events?from=" + std::to_string(from)),
      ParseCacheEvents, std::move(on_reply));
}

CallPtr SendOrder(net::HttpClient& client,
                  const RequestOptions& options,
                  const Order& order,
                  std::function<void(const OrderReply& reply)> on_reply) {
  return Execute(client, MakePostRequest(options, "/orders", MakeOrderBody(order)), options.timeout,
                 kMaxResponseBytes, [on_reply = std::move(on_reply)](const Response& response) {
                   if (IsSuccess(response)) {
                     on_reply(OrderAccepted{});
                     return;
                   }
                   const RequestFailure failure = ToRequestFailure(response);
                   if (failure.kind == RequestFailure::Kind::kRefused && failure.status == 409) {
                     on_reply(OrderFenced{});
                   } else {
                     on_reply(failure);
                   }
                 });
}

CallPtr FetchOrder(net::HttpClient& client,
                   const RequestOptions& options,
                   OnReply<Order> on_reply) {
  return SendJsonRequest<Order>(client, options, MakeGetRequest(options, "/orders"), ParseOrder,
                                std::move(on_reply));
}

}  // namespace acaciaspring::endpoint
