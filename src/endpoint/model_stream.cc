#include "src/endpoint/model_stream.h"

#include <charconv>

namespace acaciaspring::endpoint {

namespace {

// A chunk holds one token; the rest of it are ids and the usage.
constexpr std::size_t kMaxEventBytes = std::size_t{64} << 10;

enum class IndexKind : std::uint8_t { kNone, kValid, kInvalid };

IndexKind ReadIndex(const net::SseEvent& event, std::uint64_t& index) {
  if (!event.id) {
    return IndexKind::kNone;
  }
  const char* const end = event.id->data() + event.id->size();
  const auto [last, error] = std::from_chars(event.id->data(), end, index);
  return error == std::errc() && last == end ? IndexKind::kValid : IndexKind::kInvalid;
}

std::optional<wire::Usage> ReadUsage(const Json::Value& usage) {
  const auto prompt = UnsignedMember(usage, "prompt_tokens");
  const auto completion = UnsignedMember(usage, "completion_tokens");
  if (!prompt || !completion) {
    return std::nullopt;
  }
  return wire::Usage{.prompt = TokenCount(*prompt),
                     .completion = TokenCount(*completion),
                     .cached = TokenCount(UnsignedMember(usage, "cached_tokens").value_or(0))};
}

/// @brief Text of the first choice's delta; nothing for a chunk without text.
std::string ReadText(const Json::Value& chunk) {
  const Json::Value& choices = Member(chunk, "choices");
  if (!choices.isArray() || choices.empty()) {
    return {};
  }
  return StringMember(Member(choices[0], "delta"), "content");
}

}  // namespace

ModelStream::ModelStream(TokenCount max_tokens)
    : max_tokens_(max_tokens), parser_(kMaxEventBytes) {}

std::vector<StreamToken> ModelStream::Feed(std::string_view piece) {
  std::vector<StreamToken> tokens;
  if (outcome_) {
    return tokens;
  }
  for (const net::SseEvent& event : parser_.Feed(piece)) {
    TakeEvent(event, tokens);
    if (outcome_) {
      return tokens;
    }
  }
  if (parser_.overflowed()) {
    Fail(FailureReason::kTooLarge);
  }
  return tokens;
}

void ModelStream::TakeEvent(const net::SseEvent& event, std::vector<StreamToken>& tokens) {
  if (event.data == "[DONE]") {
    TakeDone();
    return;
  }
  const auto chunk = ParseJson(event.data);
  std::uint64_t index = 0;
  const IndexKind kind = ReadIndex(event, index);
  if (!chunk || !chunk->isObject() || kind == IndexKind::kInvalid) {
    Fail(FailureReason::kInvalidAnswer);
    return;
  }
  if (!Member(*chunk, "error").isNull()) {
    Fail(FailureReason::kRefusedByService);
    return;
  }
  TakeChunk(*chunk, kind == IndexKind::kValid ? std::optional(index) : std::nullopt, tokens);
}

void ModelStream::TakeChunk(const Json::Value& chunk,
                            std::optional<std::uint64_t> index,
                            std::vector<StreamToken>& tokens) {
  std::string text = ReadText(chunk);
  if (!text.empty()) {
    const std::uint64_t given = index.value_or(next_index_);
    if (given > next_index_) {
      has_gap_ = true;
    } else if (given == next_index_) {
      if (next_index_ >= max_tokens_.value()) {
        // More tokens than the budget covers.
        Fail(FailureReason::kInvalidAnswer);
        return;
      }
      tokens.push_back({.index = next_index_++, .text = std::move(text)});
    }
  }
  const Json::Value& usage = Member(chunk, "usage");
  if (!usage.isNull()) {
    final_usage_ = ReadUsage(usage);
    if (!final_usage_) {
      Fail(FailureReason::kInvalidAnswer);
    }
  }
}

void ModelStream::TakeDone() {
  if (!final_usage_) {
    outcome_ = Unknown{UnknownReason::kConnectionLost};
  } else if (has_gap_ && next_index_ < final_usage_->completion.value()) {
    // A token that came too early and was discarded has not come again.
    Fail(FailureReason::kInvalidAnswer);
  } else {
    outcome_ = Completed{};
  }
}

wire::Usage ModelStream::usage() const {
  if (outcome_ && std::holds_alternative<Completed>(*outcome_)) {
    return *final_usage_;
  }
  return wire::Usage{.prompt = {}, .completion = TokenCount(next_index_), .cached = {}};
}

}  // namespace acaciaspring::endpoint
