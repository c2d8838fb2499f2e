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

/// @brief An exchange with an endpoint. Destroying or cancelling it before its end closes the
/// connection, and no callback follows.
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
  /// JSON array of the whole history.
  std::string messages = {};
  /// A stream with more tokens than this is ended as Failed.
  TokenCount max_tokens = {};
  int priority = 0;
  /// Keep the KV cache after the end of the call.
  bool hold = false;
  /// From the start of the call, connecting included.
  Duration first_token_timeout = std::chrono::seconds(60);
  /// Longest time without a byte after the first token.
  Duration idle_timeout = std::chrono::seconds(15);
  /// W3C trace context, or empty.
  std::string traceparent = {};
};

struct ModelCallbacks {
  /// Tokens come in order without gaps, counted from 0.
  std::function<void(std::uint64_t index, std::string_view text)> on_token = {};
  /// Called exactly once unless the call is cancelled; never from within StartModelCall. Unless
  /// Completed, `usage` holds only the number of tokens that were delivered.
  std::function<void(const Outcome& outcome, const wire::Usage& usage)> on_finished = {};
};

/// @brief Streams one model call. Completed means that the usage chunk and `[DONE]` arrived. The
/// `id` line of an event is the index of its token; a token with an index that is not the next is
/// discarded, and a stream that has left out a token ends as Failed.
[[nodiscard]] CallPtr StartModelCall(net::HttpClient& client,
                                     const ModelCallOptions& options,
                                     ModelCallbacks callbacks);

struct ToolCallOptions {
  net::Address service = {};
  std::string operation = {};
  IdempotencyKey key = {};
  /// JSON text.
  std::string body = {};
  /// For the whole call, connecting included.
  Duration timeout = std::chrono::seconds(30);
  std::size_t max_answer_bytes = std::size_t{1} << 20;
  /// W3C trace context, or empty.
  std::string traceparent = {};
};

/// @brief Called exactly once unless the call is cancelled; never from within StartToolCall. The
/// body is that of the answer, also when it is a refusal.
using OnToolFinished = std::function<void(const Outcome& outcome, std::string body)>;

[[nodiscard]] CallPtr StartToolCall(net::HttpClient& client,
                                    const ToolCallOptions& options,
                                    OnToolFinished on_finished);

/// @brief Why a request to an endpoint gave no result.
struct RequestFailure {
  enum class Kind : std::uint8_t {
    /// No byte of the request was handed to a socket.
    kNotSent,
    kTimeout,
    kConnectionLost,
    /// An HTTP status that is not a success.
    kRefused,
    /// An answer that is not of the expected form.
    kInvalidAnswer,
    kTooLarge,
  };
  Kind kind{};
  /// HTTP status if an answer arrived.
  int status = 0;
  bool operator==(const RequestFailure&) const = default;
};

template <class Result>
using Reply = std::variant<Result, RequestFailure>;
template <class Result>
using OnReply = std::function<void(const Reply<Result>& reply)>;

/// @brief Where a request goes and how long it may take as a whole.
struct RequestOptions {
  net::Address endpoint = {};
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

struct Hold {
  ProgramId program;
  /// 0 if the engine does not tell.
  TokenCount tokens;
};

struct HoldReleased {
  /// False if the engine held nothing for the program.
  bool was_held = false;
};

/// @brief The KV cache of a program was exported from, or imported into, the engine's memory.
struct CacheMoved {
  /// 0 if the engine does not tell.
  TokenCount tokens;
};

struct CacheEvent {
  enum class Kind : std::uint8_t { kStored, kEvicted };
  std::uint64_t sequence = 0;
  Kind kind{};
  /// Empty if the engine does not tell.
  ProgramId program;
  /// Identifies the cached prompt prefix; empty if the engine does not tell.
  std::string prefix;
  TokenCount tokens;
};

struct CacheEvents {
  /// Sequence of the oldest event that the engine still has; a greater value than the requested one
  /// is a gap.
  std::uint64_t first = 0;
  /// Where the next request starts.
  std::uint64_t next = 0;
  std::vector<CacheEvent> events;
};

/// @brief The absolute desired state of an engine.
struct Order {
  /// Offset of the dispatcher's record.
  Offset fence;
  ModelId model;
  std::string adapter;
  std::string version;
  std::string role;
  bool operator==(const Order&) const = default;
};

struct OrderAccepted {};
/// @brief The engine has seen a newer fence.
struct OrderFenced {};
using OrderReply = std::variant<OrderAccepted, OrderFenced, RequestFailure>;

/// The following requests call back exactly once unless they are cancelled, never from within the
/// function itself.

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
                                  OnReply<CacheMoved> on_reply);
[[nodiscard]] CallPtr ImportCache(net::HttpClient& client,
                                  const RequestOptions& options,
                                  const ProgramId& program,
                                  OnReply<CacheMoved> on_reply);
[[nodiscard]] CallPtr FetchCacheEvents(net::HttpClient& client,
                                       const RequestOptions& options,
                                       std::uint64_t from,
                                       OnReply<CacheEvents> on_reply);
[[nodiscard]] CallPtr SendOrder(net::HttpClient& client,
                                const RequestOptions& options,
                                const Order& order,
                                std::function<void(const OrderReply& reply)> on_reply);
[[nodiscard]] CallPtr ReadOrder(net::HttpClient& client,
                                const RequestOptions& options,
                                OnReply<Order> on_reply);

}  // namespace acaciaspring::endpoint

#endif  // ACACIASPRING_ENDPOINT_H_
