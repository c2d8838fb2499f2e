#include <utility>

#include "acaciaspring/endpoint.h"
#include "src/endpoint/answer.h"
#include "src/endpoint/json.h"

namespace acaciaspring::endpoint {

namespace {

// Holds of several thousand programs, or a page of cache events.
constexpr std::size_t kMaxAnswerBytes = std::size_t{4} << 20;

net::HttpClientRequest Get(const RequestOptions& options, std::string target) {
  return {.server = options.endpoint, .target = std::move(target)};
}

net::HttpClientRequest Post(const RequestOptions& options,
                            std::string target,
                            const Json::Value& body) {
  return {.server = options.endpoint,
          .method = "POST",
          .target = std::move(target),
          .headers = {{"content-type", "application/json"}},
          .body = WriteJson(body)};
}

Json::Value ProgramBody(const ProgramId& program) {
  Json::Value body(Json::objectValue);
  body["program"] = program.value();
  return body;
}

/// @brief Sends and reads the answer by `read(const Json::Value&) -> std::optional<Result>`. An
/// empty body reads as an empty object.
template <class Result, class Read>
CallPtr Request(net::HttpClient& client,
                const RequestOptions& options,
                net::HttpClientRequest request,
                Read read,
                OnReply<Result> on_reply) {
  return Collect(client, std::move(request), options.timeout, kMaxAnswerBytes,
                 [read, on_reply = std::move(on_reply)](const Answer& answer) {
                   if (!IsSuccess(answer)) {
                     on_reply(FailureOf(answer));
                     return;
                   }
                   const auto body = ParseJson(answer.body.empty() ? "{}" : answer.body);
                   std::optional<Result> result;
                   if (body) {
                     result = read(*body);
                   }
                   if (result) {
                     on_reply(std::move(*result));
                   } else {
                     on_reply(FailureOf(answer));
                   }
                 });
}

std::optional<EngineLoad> ReadLoad(const Json::Value& body) {
  const auto running = UnsignedMember(body, "running");
  const auto waiting = UnsignedMember(body, "waiting");
  const auto used = UnsignedMember(body, "kv_used");
  const auto capacity = UnsignedMember(body, "kv_capacity");
  const auto sampled_at = UnsignedMember(body, "sampled_at_ms");
  if (!running || !waiting || !used || !capacity || !sampled_at) {
    return std::nullopt;
  }
  const Json::Value& leaving = Member(body, "leaving");
  return EngineLoad{
      .running = static_cast<std::uint32_t>(*running),
      .waiting = static_cast<std::uint32_t>(*waiting),
      .kv_used = TokenCount(*used),
      .kv_capacity = TokenCount(*capacity),
      .leaving = leaving.isBool() && leaving.asBool(),
      .sampled_at = WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(*sampled_at)))};
}

/// @brief The list is the body itself or its member of that name.
const Json::Value& ListIn(const Json::Value& body, const char* name) {
  return body.isArray() ? body : Member(body, name);
}

std::optional<std::vector<Hold>> ReadHolds(const Json::Value& body) {
  const Json::Value& list = ListIn(body, "holds");
  if (!list.isArray()) {
    return std::nullopt;
  }
  std::vector<Hold> holds;
  for (const Json::Value& entry : list) {
    // An entry is the program's id, or an object with it.
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

std::optional<CacheMoved> ReadMoved(const Json::Value& body) {
  return CacheMoved{.tokens = TokenCount(UnsignedMember(body, "tokens").value_or(0))};
}

std::optional<CacheEvent> ReadCacheEvent(const Json::Value& entry) {
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

std::optional<CacheEvents> ReadCacheEvents(const Json::Value& body) {
  const auto first = UnsignedMember(body, "first");
  const auto next = UnsignedMember(body, "next");
  const Json::Value& list = Member(body, "events");
  if (!first || !next || !list.isArray()) {
    return std::nullopt;
  }
  CacheEvents result{.first = *first, .next = *next, .events = {}};
  for (const Json::Value& entry : list) {
    auto event = ReadCacheEvent(entry);
    if (!event) {
      return std::nullopt;
    }
    result.events.push_back(std::move(*event));
  }
  return result;
}

Json::Value OrderBody(const Order& order) {
  Json::Value body(Json::objectValue);
  body["fence"] = Json::UInt64{order.fence.value()};
  body["model"] = order.model.value();
  body["adapter"] = order.adapter;
  body["version"] = order.version;
  body["role"] = order.role;
  return body;
}

std::optional<Order> ReadOrderBody(const Json::Value& body) {
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
  return Request<EngineLoad>(client, options, Get(options, "/load"), ReadLoad, std::move(on_reply));
}

CallPtr ListHolds(net::HttpClient& client,
                  const RequestOptions& options,
                  OnReply<std::vector<Hold>> on_reply) {
  return Request<std::vector<Hold>>(client, options, Get(options, "/kv/holds"), ReadHolds,
                                    std::move(on_reply));
}

CallPtr ReleaseHold(net::HttpClient& client,
                    const RequestOptions& options,
                    const ProgramId& program,
                    OnReply<HoldReleased> on_reply) {
  return Collect(
      client, Post(options, "/kv/release", ProgramBody(program)), options.timeout, kMaxAnswerBytes,
      [on_reply = std::move(on_reply)](const Answer& answer) {
        if (IsSuccess(answer)) {
          on_reply(HoldReleased{.was_held = true});
        } else if (const RequestFailure failure = FailureOf(answer);
                   failure.kind == RequestFailure::Kind::kRefused && failure.status == 404) {
          // Released before, for example by a request whose answer was lost.
          on_reply(HoldReleased{.was_held = false});
        } else {
          on_reply(failure);
        }
      });
}

CallPtr ExportCache(net::HttpClient& client,
                    const RequestOptions& options,
                    const ProgramId& program,
                    OnReply<CacheMoved> on_reply) {
  return Request<CacheMoved>(client, options, Post(options, "/kv/export", ProgramBody(program)),
                             ReadMoved, std::move(on_reply));
}

CallPtr ImportCache(net::HttpClient& client,
                    const RequestOptions& options,
                    const ProgramId& program,
                    OnReply<CacheMoved> on_reply) {
  return Request<CacheMoved>(client, options, Post(options, "/kv/import", ProgramBody(program)),
                             ReadMoved, std::move(on_reply));
}

CallPtr FetchCacheEvents(net::HttpClient& client,
                         const RequestOptions& options,
                         std::uint64_t from,
                         OnReply<CacheEvents> on_reply) {
  return Request<CacheEvents>(client, options,
                              Get(options, "/cache/events?from=" + std::to_string(from)),
                              ReadCacheEvents, std::move(on_reply));
}

CallPtr SendOrder(net::HttpClient& client,
                  const RequestOptions& options,
                  const Order& order,
                  std::function<void(const OrderReply& reply)> on_reply) {
  return Collect(client, Post(options, "/orders", OrderBody(order)), options.timeout,
                 kMaxAnswerBytes, [on_reply = std::move(on_reply)](const Answer& answer) {
                   if (IsSuccess(answer)) {
                     on_reply(OrderAccepted{});
                     return;
                   }
                   const RequestFailure failure = FailureOf(answer);
                   if (failure.kind == RequestFailure::Kind::kRefused && failure.status == 409) {
                     on_reply(OrderFenced{});
                   } else {
                     on_reply(failure);
                   }
                 });
}

CallPtr ReadOrder(net::HttpClient& client, const RequestOptions& options, OnReply<Order> on_reply) {
  return Request<Order>(client, options, Get(options, "/orders"), ReadOrderBody,
                        std::move(on_reply));
}

}  // namespace acaciaspring::endpoint
