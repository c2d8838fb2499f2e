#include "src/net/message_parts.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::net {

namespace {

std::string MakeHeaderFrame(FrameKind kind, TransferId transfer, std::uint64_t bytes = 0) {
  return MakeFrame(kind, wire::Encode(TransferHeader{.transfer = transfer, .bytes = bytes}));
}

}  // namespace

std::string MakeFrame(FrameKind kind, std::string_view payload) {
  std::string frame;
  frame.reserve(payload.size() + 1);
  frame.push_back(static_cast<char>(kind));
  frame.append(payload);
  return frame;
}

void MessageSender::Add(DeferredMessage message) {
  Add(Message{.stream = message.stream,
              .bytes = message.bytes,
              .encode = std::move(message.encode),
              .payload = std::nullopt});
}

void MessageSender::Add(MessageStreamId stream, std::string payload) {
  const std::size_t bytes = payload.size();
  Add(Message{.stream = stream, .bytes = bytes, .encode = nullptr, .payload = std::move(payload)});
}

void MessageSender::Add(Message message) {
  if (const auto found = streams_.find(message.stream); found != streams_.end()) {
    found->second.waiting.push_back(std::move(message));
  } else {
    Start(std::move(message));
  }
}

void MessageSender::AddFrame(std::string frame) {
  ready_bytes_ += frame.size();
  ready_.push_back(std::move(frame));
}

bool MessageSender::Encode(Message& message) {
  if (message.encode) {
    message.payload = std::exchange(message.encode, nullptr)();
  }
  return message.payload.has_value() && message.payload->size() <= wire::kMaxMessageBytes;
}

void MessageSender::Start(Message message) {
  if (message.bytes <= wire::kMaxWholeMessageBytes) {
    if (!Encode(message)) {
      return;
    }
    if (message.payload->size() <= wire::kMaxWholeMessageBytes) {
      AddFrame(MakeFrame(FrameKind::kMessage, *message.payload));
      return;
    }
    message.bytes = message.payload->size();
  }
  const TransferId id = ++last_id_;
  AddFrame(MakeHeaderFrame(FrameKind::kOffer, id, message.bytes));
  streams_[message.stream].transfer = id;
  transfers_[id].message = std::move(message);
}

void MessageSender::Withdraw(MessageStreamId stream) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return;
  }
  const TransferId id = found->second.transfer;
  streams_.erase(found);
  Erase(id);
  AddFrame(MakeHeaderFrame(FrameKind::kWithdrawn, id));
}

void MessageSender::OnAccepted(TransferId transfer) {
  const auto found = transfers_.find(transfer);
  // The message may have been withdrawn meanwhile.
  if (found == transfers_.end() || found->second.lease != nullptr) {
    return;
  }
  found->second.lease =
      std::make_unique<TransferLease>(budget_, found->second.message.bytes, on_ready_);
  accepted_.push_back(transfer);
}

void MessageSender::OnCredit(std::uint64_t bytes) {
  unacknowledged_bytes_ -= std::min(bytes, unacknowledged_bytes_);
}

std::optional<std::string> MessageSender::Next() {
  if (!ready_.empty()) {
    std::string frame = std::move(ready_.front());
    ready_.pop_front();
    ready_bytes_ -= frame.size();
    return frame;
  }
  if (unacknowledged_bytes_ >= kPartWindowBytes) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < accepted_.size(); ++i) {
    const TransferId id = accepted_.front();
    accepted_.pop_front();
    accepted_.push_back(id);
    if (transfers_.at(id).lease->granted()) {
      return NextPart(id);
    }
  }
  return std::nullopt;
}

std::string MessageSender::NextPart(TransferId id) {
  Transfer& transfer = transfers_.at(id);
  if (!Encode(transfer.message)) {
    Finish(id);
    return MakeHeaderFrame(FrameKind::kWithdrawn, id);
  }
  const std::string& payload = *transfer.message.payload;
  const std::string_view part = std::string_view(payload).substr(transfer.sent_bytes, kPartBytes);
  transfer.sent_bytes += part.size();
  unacknowledged_bytes_ += part.size();
  const bool last = transfer.sent_bytes == payload.size();
  std::string frame = MakeHeaderFrame(last ? FrameKind::kLastPart : FrameKind::kPart, id);
  frame.append(part);
  if (last) {
    Finish(id);
  }
  return frame;
}

void MessageSender::Finish(TransferId id) {
  const MessageStreamId stream = transfers_.at(id).message.stream;
  Erase(id);
  std::deque<Message> waiting = std::move(streams_.at(stream).waiting);
  streams_.erase(stream);
  for (Message& message : waiting) {
    Add(std::move(message));
  }
}

void MessageSender::Erase(TransferId id) {
  transfers_.erase(id);
  std::erase(accepted_, id);
}

std::size_t MessageSender::queued_bytes() const {
  std::size_t bytes = ready_bytes_;
  for (const auto& [id, transfer] : transfers_) {
    bytes += transfer.message.payload ? transfer.message.payload->size() : 0;
  }
  for (const auto& [id, stream] : streams_) {
    for (const Message& message : stream.waiting) {
      bytes += message.payload ? message.payload->size() : 0;
    }
  }
  return bytes;
}

void MessageSender::Clear() {
  ready_.clear();
  ready_bytes_ = 0;
  streams_.clear();
  accepted_.clear();
  transfers_.clear();
}

bool MessageReceiver::OnOffer(TransferId transfer, std::uint64_t bytes) {
  if (bytes > wire::kMaxMessageBytes || transfers_.contains(transfer)) {
    return false;
  }
  Transfer& offered = transfers_[transfer];
  offered.bytes = bytes;
  offered.lease = std::make_unique<TransferLease>(budget_, bytes, on_ready_);
  offered_.push_back(transfer);
  return true;
}

PartResult MessageReceiver::OnPart(TransferId transfer, std::string_view data, bool last) {
  const auto found = transfers_.find(transfer);
  if (found == transfers_.end() || !found->second.accepted ||
      found->second.payload.size() + data.size() > found->second.bytes + wire::kMaxFrameBytes) {
    return InvalidPart{};
  }
  taken_bytes_ += data.size();
  found->second.payload.append(data);
  if (!last) {
    return PartsMissing{};
  }
  AssembledMessage message{.payload = std::move(found->second.payload),
                           .lease = std::move(found->second.lease)};
  transfers_.erase(found);
  return message;
}

void MessageReceiver::OnWithdrawn(TransferId transfer) {
  std::erase(offered_, transfer);
  transfers_.erase(transfer);
}

std::optional<std::string> MessageReceiver::Next() {
  // A credit for each part would cost a frame for each; half of the window keeps the sender busy.
  if (taken_bytes_ >= kPartWindowBytes / 2) {
    return MakeHeaderFrame(FrameKind::kCredit, TransferId(), std::exchange(taken_bytes_, 0));
  }
  for (const TransferId id : offered_) {
    Transfer& transfer = transfers_.at(id);
    if (transfer.lease->granted()) {
      transfer.accepted = true;
      const TransferId accepted = id;
      std::erase(offered_, accepted);
      return MakeHeaderFrame(FrameKind::kAccept, accepted);
    }
  }
  return std::nullopt;
}

void MessageReceiver::Clear() {
  offered_.clear();
  transfers_.clear();
  taken_bytes_ = 0;
}

}  // namespace acaciaspring::net
