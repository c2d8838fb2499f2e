#ifndef ACACIASPRING_SRC_NET_MESSAGE_PARTS_H_
#define ACACIASPRING_SRC_NET_MESSAGE_PARTS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"

namespace acaciaspring::net {

/// @brief Identifies a message that is sent in parts; unique within one direction of a connection.
using TransferId = StrongNumber<struct TransferIdTag>;

/// @brief Size of the parts of a message.
inline constexpr std::size_t kPartBytes = std::size_t{32} << 10;
/// @brief Parts, in bytes, that the receiver of a connection has not yet taken. Bounds the time for
/// which other messages wait behind parts in the sockets.
inline constexpr std::size_t kPartWindowBytes = std::size_t{256} << 10;

/// @brief First byte of each frame.
enum class FrameKind : std::uint8_t {
  /// A whole message.
  kMessage,
  /// Asks the receiver to reserve memory for a message.
  kOffer,
  /// The receiver has reserved the memory.
  kAccept,
  kPart,
  kLastPart,
  /// An offered message will not be sent, or not to its end.
  kWithdrawn,
  /// The receiver has taken a number of bytes of parts.
  kCredit,
};

/// @brief Splits the messages of one direction of a connection into frames. Small messages are one
/// frame, which goes ahead of the parts of large ones unless both belong to the same stream. Large
/// messages are encoded once the receiver has accepted them and `budget` has room; then their parts
/// take turns.
class MessageSender {
 public:
  /// @brief `on_ready` is called when Next() may have another frame because the budget has room.
  MessageSender(TransferBudget& budget, std::function<void()> on_ready)
      : budget_(budget), on_ready_(std::move(on_ready)) {}

  void Add(DeferredMessage message);
  void Add(MessageStreamId stream, std::string payload);
  /// @brief True if a message of the stream would wait for an earlier one.
  bool IsBlocked(MessageStreamId stream) const { return streams_.contains(stream); }
  /// @brief Drops the messages of a stream that have not been sent completely.
  void Withdraw(MessageStreamId stream);
  void OnAccepted(TransferId transfer);
  void OnCredit(std::uint64_t bytes);
  /// @brief Returns the next frame to send, if any.
  std::optional<std::string> Next();
  /// @brief Encoded bytes of messages that have not been sent.
  std::size_t queued_bytes() const;
  /// @brief Bytes of the frames that Next() returns without regard to the window.
  std::size_t ready_bytes() const { return ready_bytes_; }
  void Clear();

 private:
  struct Message {
    MessageStreamId stream;
    std::size_t bytes = 0;
    /// Null once the message is encoded.
    std::function<std::optional<std::string>()> encode;
    std::optional<std::string> payload;
  };
  struct Transfer {
    Message message;
    /// Requested when the receiver has accepted the message.
    std::unique_ptr<TransferLease> lease = {};
    std::size_t sent_bytes = 0;
  };
  struct Stream {
    TransferId transfer;
    /// Messages that follow the transfer.
    std::deque<Message> waiting;
  };

  void Add(Message message);
  void AddFrame(std::string frame);
  void Start(Message message);
  /// @brief Returns false if the message is not to be sent.
  static bool Encode(Message& message);
  std::string NextPart(TransferId id);
  /// @brief Removes a transfer and starts the messages that waited for it.
  void Finish(TransferId id);
  void Erase(TransferId id);

  TransferBudget& budget_;
  std::function<void()> on_ready_;
  std::deque<std::string> ready_;
  std::size_t ready_bytes_ = 0;
  std::unordered_map<MessageStreamId, Stream> streams_;
  std::unordered_map<TransferId, Transfer> transfers_;
  /// Accepted transfers in the order of their next parts.
  std::deque<TransferId> accepted_;
  TransferId last_id_;
  std::uint64_t unacknowledged_bytes_ = 0;
};

/// @brief A message that has arrived in parts. The lease counts its memory.
struct AssembledMessage {
  std::string payload;
  std::unique_ptr<TransferLease> lease;
};
/// @brief More parts follow.
struct PartsMissing {};
/// @brief The sender violates the protocol.
struct InvalidPart {};
using PartResult = std::variant<AssembledMessage, PartsMissing, InvalidPart>;

/// @brief Assembles the messages of one direction of a connection from their parts.
class MessageReceiver {
 public:
  /// @brief `on_ready` is called when Next() may have another frame because the budget has room.
  MessageReceiver(TransferBudget& budget, std::function<void()> on_ready)
      : budget_(budget), on_ready_(std::move(on_ready)) {}

  /// @brief Returns false if the sender violates the protocol.
  bool OnOffer(TransferId transfer, std::uint64_t bytes);
  PartResult OnPart(TransferId transfer, std::string_view data, bool last);
  void OnWithdrawn(TransferId transfer);
  /// @brief Returns the next frame for the sender of the messages, if any.
  std::optional<std::string> Next();
  void Clear();

 private:
  struct Transfer {
    std::uint64_t bytes = 0;
    std::unique_ptr<TransferLease> lease = {};
    std::string payload = {};
    bool accepted = false;
  };

  TransferBudget& budget_;
  std::function<void()> on_ready_;
  std::unordered_map<TransferId, Transfer> transfers_;
  std::deque<TransferId> offered_;
  std::uint64_t taken_bytes_ = 0;
};

/// @brief Body of the frames that name a transfer, after the kind; `bytes` is the size of an offer.
struct TransferHeader {
  TransferId transfer = {};
  std::uint64_t bytes = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(transfer, bytes);
  }
};
inline constexpr std::size_t kTransferHeaderBytes = 16;

/// @brief Returns a frame that consists of the kind and `payload`.
std::string MakeFrame(FrameKind kind, std::string_view payload);

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_MESSAGE_PARTS_H_
