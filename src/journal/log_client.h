#ifndef ACACIASPRING_SRC_JOURNAL_LOG_CLIENT_H_
#define ACACIASPRING_SRC_JOURNAL_LOG_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaspring/net.h"

namespace acaciaspring::journal {

struct LogEntry {
  Offset offset;
  WallTime append_time;
  std::string_view bytes;
};

/// @brief Parses the body of a read response: repeated (u64 offset, u64 append time in ms since the
/// Unix epoch, u32 length, bytes), big-endian. The entries point into `body`. Returns nullopt if
/// it is malformed.
std::optional<std::vector<LogEntry>> ParseEntries(std::string_view body);

struct ReadResponse {
  /// Oldest offset that the log retains.
  Offset first_retained;
  std::string body;
};

/// @brief HTTP client of the log service, with at most one read and one append in flight.
class LogClient {
 public:
  LogClient(net::Loop& loop, net::HttpClient& client, net::Address server, std::string stream);
  ~LogClient();
  LogClient(const LogClient&) = delete;
  LogClient& operator=(const LogClient&) = delete;

  /// @brief Reads from an offset; `on_response` gets nullopt if the request failed or the log did
  /// not respond within `wait` + `response_timeout`. `wait` is how long the log may hold back the
  /// response while it has no entry from there on.
  void Read(Offset from,
            Duration wait,
            std::size_t max_bytes,
            Duration response_timeout,
            std::function<void(std::optional<ReadResponse> response)> on_response);
  /// @brief Appends an entry; `on_done` gets whether the log acknowledged it within `timeout`.
  void Append(std::string bytes, Duration timeout, std::function<void(bool acknowledged)> on_done);
  /// @brief Drops the callback of the append in flight. The request itself runs on until the next
  /// append, so that its connection can be reused.
  void IgnoreAppendResult();

 private:
  void CancelAppend();

  net::Loop& loop_;
  net::HttpClient& client_;
  net::Address server_;
  std::string path_;
  std::shared_ptr<net::HttpCall> read_;
  std::shared_ptr<net::HttpCall> append_;
  /// Number of appends that have ended; a response of an earlier generation is ignored.
  std::uint64_t append_generation_ = 0;
  net::Timer append_timeout_;
};

}  // namespace acaciaspring::journal

#endif  // ACACIASPRING_SRC_JOURNAL_LOG_CLIENT_H_
