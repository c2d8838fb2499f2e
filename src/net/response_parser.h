#ifndef ACACIASPRING_SRC_NET_RESPONSE_PARSER_H_
#define ACACIASPRING_SRC_NET_RESPONSE_PARSER_H_

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "acaciaspring/net.h"

namespace acaciaspring::net {

/// @brief Parses the responses on one connection of the HTTP client. Informational responses are
/// skipped.
///
/// http_parser accepts more than HTTP/1.1 allows, and Debian builds it without its strict checks.
/// What it does not check is checked here, line by line, before it receives the line's end.
class ResponseParser {
 public:
  /// @brief What follows the head of a response.
  enum class AfterHead : std::uint8_t {
    kBody,
    /// The response to a HEAD request ends with its head.
    kEnd,
    /// The response is not wanted.
    kStop,
  };

  /// @brief Receives the parts of a response.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    virtual AfterHead OnResponseHead(int status, const Headers& headers) = 0;
    /// @brief Returns false to end the parsing.
    virtual bool OnResponseBody(std::string_view data) = 0;
  };

  enum class State : std::uint8_t {
    kIncomplete,
    kComplete,
    /// The bytes are not a valid response, or the delegate has ended the parsing.
    kFailed,
  };

  /// @brief `delegate` must outlive the parser.
  explicit ResponseParser(Delegate& delegate) : delegate_(delegate) {}
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  /// @brief Prepares for the next response.
  void Start();
  /// @brief Parses up to the end of the response and removes the parsed bytes from `data`.
  State Parse(std::string_view& data);
  /// @brief Handles an orderly end of the connection, which completes a response without a length.
  State ParseEnd();
  /// @brief True if the connection stays open after the response, which must be complete.
  bool keep_alive() const { return keep_alive_; }

 private:
  /// What the next bytes belong to.
  enum class Part : std::uint8_t {
    kStatusLine,
    /// Header lines of a head, or trailers.
    kHeaders,
    /// A body that is not chunked.
    kBody,
    kChunkSize,
    kChunkData,
    /// The line break behind the data of a chunk.
    kChunkEnd,
  };

  static const http_parser_settings& Settings();
  static ResponseParser& FromParser(http_parser* parser);
  bool IsInformational() const;
  /// @brief True if the response ends with its head, whatever its headers say (RFC 9112, 6.3).
  bool HasNoContent() const;
  /// @brief True if the body, without the framing of its chunks, is what the server means. The
  /// requests accept no other transfer coding than chunked.
  bool HasKnownCoding() const;
  /// @brief True if the server may send a body that the response cannot have.
  bool AnnouncesForbiddenContent() const;
  /// @brief The first bytes of `data` that can be checked and parsed together.
  std::string_view FirstPiece(std::string_view data) const;
  /// @brief Returns false if the piece is not valid where it stands. Otherwise advances to the part
  /// that the next piece belongs to, unless only the parser can tell.
  bool CheckPiece(std::string_view piece);
  bool CheckLineBytes(std::string_view piece);
  bool CheckStatusLine(std::string_view piece);
  bool CheckChunkSize(std::string_view piece);
  bool CheckChunkEnd(std::string_view piece);
  /// @brief Returns the number of parsed bytes: 0 after a failure, and fewer than all only at the
  /// end of the response.
  std::size_t Execute(std::string_view piece);
  void StoreHeader();
  int OnHeadersComplete();
  void OnChunkHeader();
  int OnMessageComplete();

  Delegate& delegate_;
  http_parser parser_{};
  State state_ = State::kIncomplete;
  Part part_ = Part::kStatusLine;
  /// The received part of the line being read; not used for header lines.
  std::string line_;
  /// The last byte of the line being read is a carriage return.
  bool after_carriage_return_ = false;
  /// Bytes that are missing of the chunk being read.
  std::uint64_t chunk_left_ = 0;
  bool keep_alive_ = false;
  Headers headers_;
  std::string header_name_;
  std::string header_value_;
  /// The value of the header being read has begun. It may be empty.
  bool in_header_value_ = false;
};

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_RESPONSE_PARSER_H_
