#ifndef ACACIASPRING_ENDPOINT_H_
#define ACACIASPRING_ENDPOINT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciaspring/base.h"
#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"

namespace acaciaspring::endpoint {

/// @brief A request to an endpoint that is in progress. Destroying or cancelling it before it is
/// complete closes the connection, and no callback is called afterwards.
class Call {
 public:
  virtual ~Call() = default;
  virtual void Cancel() = 0;
};
using CallPtr = std::shared_ptr<Call>;

struct ModelCallOptions {
  net::Address engine = {};
  ProgramId program = {};
  ModelId model = {};
  /// JSON array with all messages of the conversation.
  std::string messages = {};
  /// A stream with more tokens than this is aborted with the outcome Failed.
  TokenCount max_tokens = {};
  int priority = 0;
  /// Asks the engine to keep the program's KV cache after the call.
  bool hold = false;
  /// Measured from the start of the call; includes the connection setup.
  Duration first_token_timeout = std::chrono::seconds(60);
  /// Maximum time without received bytes after the first token.
  Duration idle_timeout = std::chrono::seconds(15);
  /// W3C trace context, or empty.
  std::string traceparent = {};
};

struct ModelCallbacks {
  /// Called for each token in order, without gaps; `index` starts at 0.
  std::function<void(std::uint64_t index, std::string_view text)> on_token = {};
  /// Called exactly once unless the call is cancelled; never from within StartModelCall. `usage` is
  /// the usage reported by the engine if the outcome is Completed; otherwise only its `completion`
  /// is set, to the number of tokens that were delivered.
  std::function<void(const Outcome& outcome, const wire::Usage& usage)> on_finished = {};
};

/// @brief Streams one model call. The outcome is Completed if the usage chunk and `[DONE]` were
/// received. The `id` line of an event is the index of its token; a token whose index is not the
/// next one is discarded, and a stream in which a token is missing ends with the outcome Failed.
[[nodiscard]] CallPtr StartModelCall(net::HttpClient& client,
                                     const ModelCallOptions& options,
                                     ModelCallbacks callbacks);

struct ToolCallOptions {
  net::Address service = {};
  std::string operation = {};
  IdempotencyKey key = {};
  /// JSON document.
  std::string body = {};
  /// Limit for the whole call, including the connection setup.
  Duration timeout = std::chrono::seconds(30);
  std::size_t max_response_bytes = std::size_t{1} << 20;
  /// W3C trace context, or empty.
  std::string traceparent = {};
};

/// @brief Called exactly once unless the call is cancelled; never from within StartToolCall.
/// `body` is the response body, also of an error response.
using OnToolFinished = std::function<void(const Outcome& outcome, std::string body)>;

[[nodiscard]] CallPtr StartToolCall(net::HttpClient& client,
                                    const ToolCallOptions& options,
                                    OnToolFinished on_finished);

/// @brief Why a request to an endpoint has no result.
struct RequestFailure {
  enum class Kind : std::uint8_t {
    /// No byte of the request was written to a socket.
    kNotSent,
    kTimeout,
    kConnectionLost,
    /// The response has an HTTP status other than 2xx.
    kRefused,
    /// The response is successful, but its body is malformed.
    kInvalidAnswer,
    kTooLarge,
  };
  Kind kind{};
  /// HTTP status, or 0 if no response was received.
  int status = 0;
  bool operator==(const RequestFailure&) const = default;
};

template <class Result>
using Reply = std::variant<Result, RequestFailure>;
template <class Result>
using OnReply = std::function<void(const Reply<Result>& reply)>;

struct RequestOptions {
  net::Address endpoint = {};
  /// Limit for the whole exchange, including the connection setup.
  Duration timeout = std::chrono::seconds(2);
};

struct EngineLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  TokenCount kv_used;
  TokenCount kv_capacity;
  bool leaving = false;
  WallTime sampled_at;
};

/// @brief The KV cache that an engine keeps for a program after a call.
struct Hold {
  ProgramId program;
  /// 0 if the engine does not report it.
  TokenCount tokens;
};

struct HoldReleased {
  /// False if the engine had no hold for the program.
  bool was_held = false;
};

/// @brief Result of exporting a program's KV cache from the engine's memory or importing it.
struct CacheTransferred {
  /// 0 if the engine does not report it.
  TokenCount tokens;
};

struct CacheEvent {
  enum class Kind : std::uint8_t { kStored, kEvicted };
  std::uint64_t sequence = 0;
  Kind kind{};
  /// Empty if the engine does not report it.
  ProgramId program;
  /// Identifies the cached prompt prefix; empty if the engine does not report it.
  std::string prefix;
  TokenCount tokens;
};

struct CacheEvents {
  /// Sequence number of the oldest event that the engine retains. A value greater than the
  /// requested one means that events were lost.
  std::uint64_t first = 0;
  /// The value of `from` for the next request.
  std::uint64_t next = 0;
  std::vector<CacheEvent> events;
};

/// @brief The desired state of an engine; it replaces the previous order as a whole.
struct Order {
  /// Fencing token: the log offset of the dispatcher's record.
  Offset fence;
  ModelId model;
  std::string adapter;
  std::string version;
  std::string role;
  bool operator==(const Order&) const = default;
};

struct OrderAccepted {};
/// @brief The engine rejected the order because it has seen a newer fence.
struct OrderFenced {};
using OrderReply = std::variant<OrderAccepted, OrderFenced, RequestFailure>;

/// The functions below call `on_reply` exactly once unless the request is cancelled, and never
/// before they return.

[[nodiscard]] CallPtr FetchLoad(net::HttpClient& client,
                                const RequestOptions& options,
                                OnReply<EngineLoad> on_reply);
[[nodiscard]] CallPtr ListHolds(net::HttpClient& client,
                                const RequestOptions& options,
                                OnReply<std::vector<Hold>> on_reply);
[[nodiscard]] CallPtr ReleaseHold(net::HttpClient& client,
                                  const RequestOptions& options,
                                  const ProgramId& program,
                                  OnReply<HoldReleased> on_reply);
[[nodiscard]] CallPtr ExportCache(net::HttpClient& client,
                                  const RequestOptions& options,
                                  const ProgramId& program,
                                  OnReply<CacheTransferred> on_reply);
[[nodiscard]] CallPtr ImportCache(net::HttpClient& client,
                                  const RequestOptions& options,
                                  const ProgramId& program,
                                  OnReply<CacheTransferred> on_reply);
[[nodiscard]] CallPtr FetchCacheEvents(net::HttpClient& client,
                                       const RequestOptions& options,
                                       std::uint64_t from,
                                       OnReply<CacheEvents> on_reply);
[[nodiscard]] CallPtr SendOrder(net::HttpClient& client,
                                const RequestOptions& options,
                                const Order& order,
                                std::function<void(const OrderReply& reply)> on_reply);
[[nodiscard]] CallPtr FetchOrder(net::HttpClient& client,
                                 const RequestOptions& options,
                                 OnReply<Order> on_reply);

}  // namespace acaciaspring::endpoint

#endif  // ACACIASPRING_ENDPOINT_H_
