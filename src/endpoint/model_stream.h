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

/// @brief Incremental parser of an engine's chat-completions stream (server-sent events).
class ModelStream {
 public:
  explicit ModelStream(TokenCount max_tokens);

  /// @brief Parses more bytes of the stream and returns the tokens that continue the sequence.
  std::vector<StreamToken> Feed(std::string_view data);
  /// @brief Set once the stream is complete or has failed; further data is ignored.
  const std::optional<Outcome>& outcome() const { return outcome_; }
  /// @brief The usage reported by the engine if the outcome is Completed; otherwise only the number
  /// of tokens delivered so far.
  wire::Usage usage() const;

 private:
  void HandleEvent(const net::SseEvent& event, std::vector<StreamToken>& tokens);
  void HandleChunk(const Json::Value& chunk,
                   std::optional<std::uint64_t> index,
                   std::vector<StreamToken>& tokens);
  void HandleDone();
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
