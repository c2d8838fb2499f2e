#include "src/endpoint/model_stream.h"

#include <charconv>

namespace acaciaspring::endpoint {

namespace {

// A chunk contains one token, a few ids and the usage.
constexpr std::size_t kMaxEventBytes = std::size_t{64} << 10;

enum class IndexKind : std::uint8_t { kNone, kValid, kInvalid };

IndexKind ParseTokenIndex(const net::SseEvent& event, std::uint64_t& index) {
  if (!event.id) {
    return IndexKind::kNone;
  }
  const char* const end = event.id->data() + event.id->size();
  const auto [parsed_end, error] = std::from_chars(event.id->data(), end, index);
  return error == std::errc() && parsed_end == end ? IndexKind::kValid : IndexKind::kInvalid;
}

std::optional<wire::Usage> ParseUsage(const Json::Value& usage) {
  const auto prompt = UnsignedMember(usage, "prompt_tokens");
  const auto completion = UnsignedMember(usage, "completion_tokens");
  if (!prompt || !completion) {
    return std::nullopt;
  }
  return wire::Usage{.prompt = TokenCount(*prompt),
                     .completion = TokenCount(*completion),
                     .cached = TokenCount(UnsignedMember(usage, "cached_tokens").value_or(0))};
}

/// @brief Text of the first choice's delta; empty if the chunk has none.
std::string ParseText(const Json::Value& chunk) {
  const Json::Value& choices = Member(chunk, "choices");
  if (!choices.isArray() || choices.empty()) {
    return {};
  }
  return StringMember(Member(choices[0], "delta"), "content");
}

}  // namespace

ModelStream::ModelStream(TokenCount max_tokens)
    : max_tokens_(max_tokens), parser_(kMaxEventBytes) {}

std::vector<StreamToken> ModelStream::Feed(std::string_view data) {
  std::vector<StreamToken> tokens;
  if (outcome_) {
    return tokens;
  }
  for (const net::SseEvent& event : parser_.Feed(data)) {
    HandleEvent(event, tokens);
    if (outcome_) {
      return tokens;
    }
  }
  if (parser_.overflowed()) {
    Fail(FailureReason::kTooLarge);
  }
  return tokens;
}

void ModelStream::HandleEvent(const net::SseEvent& event, std::vector<StreamToken>& tokens) {
  if (event.data == "[DONE]") {
    HandleDone();
    return;
  }
  const auto chunk = ParseJson(event.data);
  std::uint64_t index = 0;
  const IndexKind index_kind = ParseTokenIndex(event, index);
  if (!chunk || !chunk->isObject() || index_kind == IndexKind::kInvalid) {
    Fail(FailureReason::kInvalidAnswer);
    return;
  }
  if (!Member(*chunk, "error").isNull()) {
    Fail(FailureReason::kRefusedByService);
    return;
  }
  HandleChunk(*chunk, index_kind == IndexKind::kValid ? std::optional(index) : std::nullopt,
              tokens);
}

void ModelStream::HandleChunk(const Json::Value& chunk,
                              std::optional<std::uint64_t> index,
                              std::vector<StreamToken>& tokens) {
  std::string text = ParseText(chunk);
  if (!text.empty()) {
    const std::uint64_t token_index = index.value_or(next_index_);
    if (token_index > next_index_) {
      has_gap_ = true;
    } else if (token_index == next_index_) {
      if (next_index_ >= max_tokens_.value()) {
        // The engine exceeded max_tokens, which is what the program's budget covers.
        Fail(FailureReason::kInvalidAnswer);
        return;
      }
      tokens.push_back({.index = next_index_++, .text = std::move(text)});
    }
  }
  const Json::Value& usage = Member(chunk, "usage");
  if (!usage.isNull()) {
    final_usage_ = ParseUsage(usage);
    if (!final_usage_) {
      Fail(FailureReason::kInvalidAnswer);
    }
  }
}

void ModelStream::HandleDone() {
  if (!final_usage_) {
    outcome_ = Unknown{UnknownReason::kConnectionLost};
  } else if (has_gap_ && next_index_ < final_usage_->completion.value()) {
    // A token was discarded because it arrived out of order, and it was not sent again.
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
