#ifndef ACACIASPRING_SRC_NET_SCRIPTED_SERVER_H_
#define ACACIASPRING_SRC_NET_SCRIPTED_SERVER_H_

#include <array>
#include <charconv>
#include <functional>
#include <string>
#include <utility>

#include "src/net/test_support.h"

namespace acaciaspring::net {

/// @brief How a server ends its side of a connection.
enum class Ending : std::uint8_t { kClose, kHalfClose, kReset, kSilence };
inline constexpr std::array kEndings = {Ending::kClose, Ending::kHalfClose, Ending::kReset,
                                        Ending::kSilence};

/// @brief True if the end of the connection may complete a response without a length.
inline bool IsOrderly(Ending ending) {
  return ending == Ending::kClose || ending == Ending::kHalfClose;
}

inline std::string Name(Ending ending) {
  constexpr std::array kNames = {"close", "half-close", "reset", "silence"};
  return kNames.at(static_cast<std::size_t>(ending));
}

inline void End(RawConnection& connection, Ending ending) {
  switch (ending) {
    case Ending::kClose:
      connection.Close();
      return;
    case Ending::kHalfClose:
      connection.EndSending();
      return;
    case Ending::kReset:
      connection.Close(/*reset=*/true);
      return;
    case Ending::kSilence:
      return;
  }
}

/// @brief A server of raw bytes that calls a function for each complete request.
class ScriptedServer {
 public:
  using Script = std::function<void(RawConnection&, const std::string& request)>;

  ScriptedServer(Loop& loop, Script script) : script_(std::move(script)), server_(loop) {
    poll_ = loop.Every(std::chrono::milliseconds(1), [this] { Poll(); });
  }
  Address address() const { return server_.address(); }

 private:
  static bool IsComplete(const std::string& request) {
    constexpr std::string_view kLength = "content-length: ";
    const std::size_t end = request.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    const std::size_t found = request.find(kLength);
    std::size_t length = 0;
    if (found < end) {
      std::from_chars(request.data() + found + kLength.size(), request.data() + end, length);
    }
    return request.size() >= end + 4 + length;
  }
  void Poll() {
    for (std::size_t i = 0; i < server_.connections().size(); ++i) {
      RawConnection& connection = *server_.connections()[i];
      if (IsComplete(connection.received())) {
        const std::string request = connection.received();
        connection.ClearReceived();
        script_(connection, request);
      }
    }
  }

  Script script_;
  RawServer server_;
  Timer poll_;
};

/// @brief Sends bytes and ends the connection, either so that both can be read at once, or later.
inline void SendAndEnd(Loop& loop,
                       RawConnection& connection,
                       const std::string& bytes,
                       Ending ending,
                       bool in_one_read,
                       std::vector<Timer>& timers) {
  connection.Send(bytes);
  if (in_one_read) {
    End(connection, ending);
    return;
  }
  timers.push_back(
      loop.After(std::chrono::milliseconds(5), [&connection, ending] { End(connection, ending); }));
}

/// @brief The ways to frame a body.
enum class Framing : std::uint8_t { kLength, kChunked, kNeither, kNeitherClose };
inline constexpr std::array kFramings = {Framing::kLength, Framing::kChunked, Framing::kNeither,
                                         Framing::kNeitherClose};

inline bool EndsWithConnection(Framing framing) {
  return framing == Framing::kNeither || framing == Framing::kNeitherClose;
}

inline std::string Name(Framing framing) {
  constexpr std::array kNames = {"length", "chunked", "neither", "neither, connection: close"};
  return kNames.at(static_cast<std::size_t>(framing));
}

/// @brief A response head with `lines`, which end with a line break, for a body of `size` bytes.
inline std::string MakeHead(Framing framing,
                            const std::string& status_line,
                            const std::string& lines,
                            std::size_t size) {
  const std::array<std::string, 4> frames = {"Content-Length: " + std::to_string(size) + "\r\n",
                                             "Transfer-Encoding: chunked\r\n", "",
                                             "Connection: close\r\n"};
  return "HTTP/1.1 " + status_line + "\r\n" + lines + frames.at(static_cast<std::size_t>(framing)) +
         "\r\n";
}

/// @brief The first `size` bytes of a body in their framing; with the end of the body if it is
/// whole.
inline std::string MakeBody(Framing framing, const std::string& body, std::size_t size) {
  if (framing != Framing::kChunked) {
    return body.substr(0, size);
  }
  std::array<char, 20> digits{};
  char* const end = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16).ptr;
  const std::string chunk =
      size == 0 ? "" : std::string(digits.data(), end) + "\r\n" + body.substr(0, size) + "\r\n";
  return chunk + (size == body.size() ? "0\r\n\r\n" : "");
}

}  // namespace acaciaspring::net

#endif  // ACACIASPRING_SRC_NET_SCRIPTED_SERVER_H_
