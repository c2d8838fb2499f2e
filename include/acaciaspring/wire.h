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

enum class DecodeFault : std::uint8_t { kTruncated, kTrailingBytes, kLengthBeyondEnd, kInvalid };

/// @brief A message that cannot be decoded.
class DecodeError : public Error {
 public:
  explicit DecodeError(DecodeFault fault);
  DecodeFault fault() const { return fault_; }

 private:
  DecodeFault fault_;
};

/// @brief Cereal output archive that appends little-endian binary data to a string.
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

/// @brief Cereal input archive for the format of OutputArchive. Checks a length against the
/// remaining bytes before allocating; cereal's own binary archive allocates first, so that a few
/// corrupt bytes could make it allocate gigabytes.
class InputArchive : public cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit InputArchive(std::string_view data)
      : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(this), data_(data) {}
  void Read(void* out, std::size_t size);
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
  archive.Read(&value, sizeof(value));
}
// Copying a byte other than 0 or 1 into a bool is undefined behaviour.
inline void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, bool& value) {
  std::uint8_t byte = 0;
  archive.Read(&byte, sizeof(byte));
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
  archive.Read(&size, sizeof(size));
  if (size > archive.remaining()) {
    throw DecodeError(DecodeFault::kLengthBeyondEnd);
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
  archive.Read(data.data, static_cast<std::size_t>(data.size));
}

template <class T>
std::string Encode(const T& value) {
  std::string out;
  OutputArchive archive(out);
  archive(value);
  return out;
}

/// @brief Decodes `data`; throws DecodeError unless it is exactly one encoded T.
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

/// @brief Largest message that is sent in one frame. Other messages wait for at most one such
/// frame.
inline constexpr std::size_t kMaxWholeMessageBytes = std::size_t{256} << 10;
/// @brief Largest payload of a frame: a whole message and the kind of the frame.
inline constexpr std::size_t kMaxFrameBytes = kMaxWholeMessageBytes + 64;
/// @brief Largest message. The length of a conversation has no limit of its own.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{256} << 20;
inline constexpr std::size_t kMaxDatagramBytes = 1400;
inline constexpr std::size_t kMacBytes = 16;
inline constexpr std::size_t kNonceBytes = 16;
using Nonce = std::array<char, kNonceBytes>;

/// @brief Returns cryptographically secure random bytes. Throws Error if none are available.
Nonce MakeNonce();

enum class Direction : std::uint8_t { kToAcceptor, kToInitiator };

/// @brief First 64 bits of the HMAC-SHA256 of the data. Whoever does not know the key cannot find
/// two inputs with the same hash.
std::uint64_t KeyedHash64(std::string_view key, std::string_view data);

/// @brief Authenticates the frames of one direction of a connection. The MAC is HMAC-SHA256 over a
/// frame counter and the payload, truncated to 16 bytes; its key is derived from the cluster key,
/// the nonces of both sides and the direction. Frames cannot be forged, replayed or reordered.
class FrameAuthenticator {
 public:
  FrameAuthenticator(std::string_view cluster_key,
                     const Nonce& initiator,
                     const Nonce& acceptor,
                     Direction direction);
  /// @brief Returns the MAC of the next payload and advances the counter.
  std::string Sign(std::string_view payload);
  /// @brief Checks the MAC of the next payload; advances the counter only if the MAC is valid.
  bool Verify(std::string_view mac, std::string_view payload);

 private:
  std::string Mac(std::string_view payload) const;
  std::string key_;
  std::uint64_t counter_ = 0;
};

/// @brief Returns a datagram: the MAC of the payload followed by the payload.
std::string SignDatagram(std::string_view cluster_key, std::string_view payload);
/// @brief Returns the payload of a datagram, or nullopt if its size or its MAC is invalid.
std::optional<std::string_view> VerifyDatagram(std::string_view cluster_key,
                                               std::string_view datagram);

/// @brief A model call; `messages` is a JSON array of the messages that the turn adds.
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

/// @brief The part of an answer that the caller has already received: its length in bytes and its
/// Hash64.
struct ResumePoint {
  std::uint64_t bytes = 0;
  std::uint64_t hash = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(bytes, hash);
  }
};

/// @brief Sent by the entry (the daemon that received the call from the caller) to the home of the
/// program (the daemon that owns the program's shard).
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

/// @brief A part of a streamed answer; `offset` is its position in the answer in bytes and `hash`
/// the Hash64 of the answer up to the end of this part.
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

/// @brief Last message of a call; `body` is the JSON answer if the call does not stream.
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

/// @brief The caller has disconnected; the home still completes the turn and stores its result.
struct CallCancelled {
  ExchangeId exchange;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange);
  }
};

/// @brief The receiver of a call does not own the shard; `owner` is empty if it knows no owner.
struct WrongOwner {
  ExchangeId exchange;
  DaemonId owner;
  Epoch epoch;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, owner, epoch);
  }
};

/// @brief A model call for an engine; `messages` is the whole history as a JSON array.
struct ModelDispatch {
  ModelId model;
  std::string messages;
  TokenCount max_tokens;
  /// Whether the engine keeps the KV cache after the end of the call.
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

/// @brief Asks an engine to release the KV cache that it holds for a program.
struct ReleaseDispatch {
  template <class Archive>
  void serialize(Archive&) {}
};

/// @brief Sent by the home of a program to the dispatcher of an endpoint.
struct DispatchRequest {
  ExchangeId exchange;
  EndpointId endpoint;
  OrganisationId organisation;
  ProgramId program;
  /// Root of the tree of sub-agents that the program belongs to.
  ProgramId root;
  PriorityClassId priority_class;
  /// Tokens that the root program has spent so far, for ordering by least attained service.
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

/// @brief Load of an endpoint as counted by its dispatcher; sent to the daemons of the region.
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

/// @brief Sent by an entry to the limiter of an organisation (the daemon that divides the limits of
/// the organisation between the entries); requests the next grant.
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

/// @brief Reply to a StatusRequest; `document` is the state of one daemon as a JSON object.
struct StatusReply {
  ExchangeId exchange;
  std::string document;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(exchange, document);
  }
};

/// @brief First message that each side sends on a connection.
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
