#ifndef ACACIASPRING_WIRE_H_
#define ACACIASPRING_WIRE_H_

#include <array>
#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

#include "acaciaspring/base.h"

namespace acaciaspring::wire {

enum class DecodeFault : std::uint8_t { kTruncated, kTrailingBytes, kTooLong, kInvalid };

/// @brief A message that cannot be decoded.
class DecodeError : public Error {
 public:
  explicit DecodeError(DecodeFault fault);
  DecodeFault fault() const { return fault_; }

 private:
  DecodeFault fault_;
};

/// @brief Little-endian cereal archive that appends to a string.
class OutputArchive : public cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit OutputArchive(std::string& out)
      : cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>(this), out_(out) {}
  void Append(const void* data, std::size_t size) {
    out_.append(static_cast<const char*>(data), size);
  }

 private:
  std::string& out_;
};

/// @brief Reads what OutputArchive wrote. A length is checked against the bytes that remain before
/// anything is allocated: cereal's own binary archive allocates first.
class InputArchive : public cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit InputArchive(std::string_view data)
      : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(this), data_(data) {}
  void Take(void* out, std::size_t size);
  std::size_t remaining() const { return data_.size(); }

 private:
  std::string_view data_;
};

}  // namespace acaciaspring::wire

CEREAL_SETUP_ARCHIVE_TRAITS(acaciaspring::wire::InputArchive, acaciaspring::wire::OutputArchive)

namespace acaciaspring::wire {

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const T& value) {
  archive.Append(&value, sizeof(value));
}
template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, T& value) {
  archive.Take(&value, sizeof(value));
}
// A byte other than 0 or 1 is not a valid bool object.
inline void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, bool& value) {
  std::uint8_t byte = 0;
  archive.Take(&byte, sizeof(byte));
  value = byte != 0;
}
template <class T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const cereal::SizeTag<T>& tag) {
  const auto size = static_cast<std::uint32_t>(tag.size);
  archive.Append(&size, sizeof(size));
}
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, cereal::SizeTag<T>& tag) {
  std::uint32_t size = 0;
  archive.Take(&size, sizeof(size));
  if (size > archive.remaining()) {
    throw DecodeError(DecodeFault::kTooLong);
  }
  tag.size = size;
}
template <class T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}
template <class T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const cereal::BinaryData<T>& data) {
  archive.Append(data.data, static_cast<std::size_t>(data.size));
}
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, cereal::BinaryData<T>& data) {
  archive.Take(data.data, static_cast<std::size_t>(data.size));
}

template <class T>
std::string Encode(const T& value) {
  std::string out;
  OutputArchive archive(out);
  archive(value);
  return out;
}

/// @brief Throws DecodeError unless `data` is exactly one encoded T.
template <class T>
T Decode(std::string_view data) {
  T value{};
  try {
    InputArchive archive(data);
    archive(value);
    if (archive.remaining() != 0) {
      throw DecodeError(DecodeFault::kTrailingBytes);
    }
  } catch (const cereal::Exception&) {
    throw DecodeError(DecodeFault::kInvalid);
  }
  return value;
}

inline constexpr std::size_t kMaxFrameBytes = std::size_t{8} << 20;
inline constexpr std::size_t kMaxDatagramBytes = 1400;
inline constexpr std::size_t kMacBytes = 16;
inline constexpr std::size_t kNonceBytes = 16;
using Nonce = std::array<char, kNonceBytes>;

/// @brief Random bytes from the operating system.
Nonce MakeNonce();

enum class Direction : std::uint8_t { kToAcceptor, kToInitiator };

/// @brief Authenticates the frames of one direction of a connection (HMAC-SHA256 cut to 16 bytes
/// over a frame counter and the payload), so that frames cannot be forged, replayed or reordered.
class FrameAuthenticator {
 public:
  FrameAuthenticator(std::string_view cluster_key,
                     const Nonce& initiator,
                     const Nonce& acceptor,
                     Direction direction);
  /// @brief MAC of the next payload; advances the counter.
  std::string Sign(std::string_view payload);
  /// @brief Checks the next payload; advances the counter if it is authentic.
  bool Verify(std::string_view mac, std::string_view payload);

 private:
  std::string Mac(std::string_view payload) const;
  std::string key_;
  std::uint64_t counter_ = 0;
};

/// @brief MAC followed by the payload.
std::string SignDatagram(std::string_view cluster_key, std::string_view payload);
/// @brief Payload of an authentic datagram, or nothing.
std::optional<std::string_view> VerifyDatagram(std::string_view cluster_key,
                                               std::string_view datagram);

/// @brief A model call; `messages` is the JSON array of the new messages of the turn.
struct ModelCall {
  ModelId model;
  std::string messages;
  TokenCount max_tokens;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, messages, max_tokens);
  }
};

struct ToolCall {
  ServiceId service;
  std::string body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, body);
  }
};

struct CreateProgram {
  PriorityClassId priority_class;
  TokenCount budget;
  std::uint32_t max_calls = 0;
  /// Empty for a program without a parent.
  ProgramId parent;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(priority_class, budget, max_calls, parent);
  }
};

struct EndProgram {
  template <class Archive>
  void serialize(Archive&) {}
};
struct DescribeProgram {
  template <class Archive>
  void serialize(Archive&) {}
};
struct ReadHistory {
  template <class Archive>
  void serialize(Archive&) {}
};

using Operation =
    std::variant<ModelCall, ToolCall, CreateProgram, EndProgram, DescribeProgram, ReadHistory>;

/// @brief What the caller already has of an answer: the first `bytes` bytes, which have this
/// Hash64.
struct ResumePoint {
  std::uint64_t bytes = 0;
  std::uint64_t hash = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(bytes, hash);
  }
};

/// @brief From entry to home.
struct CallRequest {
  ExchangeId exchange;
  OrganisationId organisation;
  ProgramId program;
  IdempotencyKey key;
  Operation operation;
  std::uint32_t deadline_ms = 0;
  ResumePoint resume;
  std::string traceparent;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, organisation, program, key, operation, deadline_ms, resume, traceparent);
  }
};

/// @brief A piece of a streamed answer; `offset` is its position in the answer in bytes and `hash`
/// the Hash64 of the answer up to the end of the piece.
struct CallEvent {
  ExchangeId exchange;
  std::uint64_t offset = 0;
  std::string text;
  std::uint64_t hash = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, offset, text, hash);
  }
};

struct Usage {
  TokenCount prompt;
  TokenCount completion;
  TokenCount cached;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(prompt, completion, cached);
  }
};

/// @brief End of a call; `body` is the JSON answer of calls that do not stream.
struct CallFinished {
  ExchangeId exchange;
  Outcome outcome;
  std::string body;
  Usage usage;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, outcome, body, usage);
  }
};

/// @brief The caller is gone; the home finishes the turn and keeps its result.
struct CallCancelled {
  ExchangeId exchange;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange);
  }
};

/// @brief The receiver does not own the shard; `owner` is empty when it knows none.
struct WrongOwner {
  ExchangeId exchange;
  DaemonId owner;
  Epoch epoch;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, owner, epoch);
  }
};

/// @brief A model call with the whole history as JSON array.
struct ModelDispatch {
  ModelId model;
  std::string messages;
  TokenCount max_tokens;
  /// Keep the KV cache after the end of the call.
  bool hold = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, messages, max_tokens, hold);
  }
};

struct ToolDispatch {
  ServiceId service;
  IdempotencyKey key;
  std::string body;
  bool idempotent = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, key, body, idempotent);
  }
};

/// @brief Asks an engine to drop what it holds for a program.
struct ReleaseDispatch {
  template <class Archive>
  void serialize(Archive&) {}
};

/// @brief From home to the dispatcher of an endpoint.
struct DispatchRequest {
  ExchangeId exchange;
  EndpointId endpoint;
  OrganisationId organisation;
  ProgramId program;
  /// Root of the tree of sub-agents; attained service counts for it.
  ProgramId root;
  PriorityClassId priority_class;
  TokenCount attained_service;
  TokenCount prompt_estimate;
  std::uint32_t deadline_ms = 0;
  std::variant<ModelDispatch, ToolDispatch, ReleaseDispatch> work;
  std::string traceparent;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, endpoint, organisation, program, root, priority_class, attained_service,
            prompt_estimate, deadline_ms, work, traceparent);
  }
};

/// @brief One token from the endpoint; `index` counts from 0 within the attempt.
struct DispatchEvent {
  ExchangeId exchange;
  std::uint64_t index = 0;
  std::string text;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, index, text);
  }
};

struct DispatchFinished {
  ExchangeId exchange;
  Outcome outcome;
  std::string body;
  Usage usage;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, outcome, body, usage);
  }
};

struct DispatchCancelled {
  ExchangeId exchange;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange);
  }
};

/// @brief Load of an endpoint as its dispatcher sees it; sent to the daemons of the region.
struct EndpointReport {
  EndpointId endpoint;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  TokenCount queued_tokens;
  bool available = true;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(endpoint, running, queued, queued_tokens, available);
  }
};

/// @brief From an entry to the limiter of an organisation: asks for the next grant.
struct LimitRequest {
  OrganisationId organisation;
  DaemonId holder;
  std::uint64_t sequence = 0;
  std::uint32_t wanted_calls = 0;
  std::uint32_t wanted_concurrency = 0;
  std::uint32_t running = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, holder, sequence, wanted_calls, wanted_concurrency, running);
  }
};

struct LimitGranted {
  OrganisationId organisation;
  std::uint64_t sequence = 0;
  std::uint32_t calls = 0;
  std::uint32_t concurrency = 0;
  std::uint32_t valid_for_ms = 0;
  std::uint32_t retry_after_ms = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, sequence, calls, concurrency, valid_for_ms, retry_after_ms);
  }
};

struct StatusRequest {
  ExchangeId exchange;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange);
  }
};

/// @brief State of one daemon as a JSON object.
struct StatusReply {
  ExchangeId exchange;
  std::string document;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, document);
  }
};

/// @brief First message of each side of a connection.
struct Hello {
  DaemonId daemon;
  Incarnation incarnation;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(daemon, incarnation);
  }
};

using Message = std::variant<Hello,
                             CallRequest,
                             CallEvent,
                             CallFinished,
                             CallCancelled,
                             WrongOwner,
                             DispatchRequest,
                             DispatchEvent,
                             DispatchFinished,
                             DispatchCancelled,
                             EndpointReport,
                             LimitRequest,
                             LimitGranted,
                             StatusRequest,
                             StatusReply>;

}  // namespace acaciaspring::wire

#endif  // ACACIASPRING_WIRE_H_
