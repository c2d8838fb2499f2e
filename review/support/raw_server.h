#ifndef REVIEW_SUPPORT_RAW_SERVER_H_
#define REVIEW_SUPPORT_RAW_SERVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "acaciaspring/net.h"

namespace review {

/// @brief The bytes that a raw server sends, and how it closes the connection then.
struct RawAnswer {
  std::string bytes = {};
  /// Closes the connection with a reset instead of an orderly end.
  bool reset = false;
  /// Keeps the connection for the next request.
  bool keep = false;
};

/// @brief Server with blocking sockets that sends whatever bytes the case wants. Serves one
/// connection at a time and runs in a thread of its own.
class RawServer {
 public:
  /// @brief Gets the head and the body of a request and the id in its head.
  using Handler = std::function<RawAnswer(const std::string& request, const std::string& id)>;
  explicit RawServer(Handler handler);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  acaciaspring::net::Address address() const { return {.ip = "127.0.0.1", .port = port_}; }

 private:
  void Serve();
  /// @brief Returns false when the connection is to be closed.
  bool AnswerOne(int connection);

  Handler handler_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace review

#endif  // REVIEW_SUPPORT_RAW_SERVER_H_
