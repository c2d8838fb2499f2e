#ifndef ACACIASPRING_SRC_ENDPOINT_MODEL_STREAM_H_
#define ACACIASPRING_SRC_ENDPOINT_MODEL_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaspring/base.h"
#include "acaciaspring/net.h"
#include "acaciaspring/wire.h"
#include "src/endpoint/json.h"

namespace acaciaspring::endpoint {

struct StreamToken {
  std::uint64_t index = 0;
  std::string text;
  bool operator==(const StreamToken&) const = default;
};

/// @brief Reads the chat-completions stream of an engine.
class ModelStream {
 public:
  explicit ModelStream(TokenCount max_tokens);

  /// @brief The tokens that are next in order in this piece.
  std::vector<StreamToken> Feed(std::string_view piece);
  /// @brief Set when the stream has come to its end, good or bad; further pieces are ignored.
  const std::optional<Outcome>& outcome() const { return outcome_; }
  /// @brief The engine's figures once Completed, else the tokens delivered so far.
  wire::Usage usage() const;

 private:
  void TakeEvent(const net::SseEvent& event, std::vector<StreamToken>& tokens);
  void TakeChunk(const Json::Value& chunk,
                 std::optional<std::uint64_t> index,
                 std::vector<StreamToken>& tokens);
  void TakeDone();
  void Fail(FailureReason reason) { outcome_ = Failed{reason}; }

  TokenCount max_tokens_;
  net::SseParser parser_;
  std::uint64_t next_index_ = 0;
  bool has_gap_ = false;
  std::optional<wire::Usage> final_usage_;
  std::optional<Outcome> outcome_;
};

}  // namespace acaciaspring::endpoint

#endif  // ACACIASPRING_SRC_ENDPOINT_MODEL_STREAM_H_
