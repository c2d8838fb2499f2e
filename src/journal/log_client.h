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

/// @brief Splits the body of a read: repeated (u64 offset, u64 append time in ms since the Unix
/// epoch, u32 length, bytes), big-endian. The entries point into `body`. Nothing if it is
/// malformed.
std::optional<std::vector<LogEntry>> ParseEntries(std::string_view body);

struct ReadResponse {
  /// Oldest offset that the log retains.
  Offset first_retained;
  std::string body;
};

/// @brief HTTP exchanges with the log service, one read and one append at a time.
class LogClient {
 public:
  LogClient(net::Loop& loop, net::HttpClient& client, net::Address server, std::string stream);
  ~LogClient();
  LogClient(const LogClient&) = delete;
  LogClient& operator=(const LogClient&) = delete;

  /// @brief Reads from an offset; `on_answer` gets nothing if the log did not answer within
  /// `wait` + `patience`.
  void Read(Offset from,
            Duration wait,
            std::size_t max_bytes,
            Duration response_timeout,
            std::function<void(std::optional<ReadResponse> response)> on_response);
  /// @brief Appends an entry; `on_done` gets whether the log acknowledged it within `timeout`.
  void Append(std::string bytes, Duration timeout, std::function<void(bool acknowledged)> on_done);
  /// @brief Stops waiting for the acknowledgement. The exchange may end by itself, so that its
  /// connection stays usable, until the next append.
  void IgnoreAppendResult();

 private:
  void CancelAppend();

  net::Loop& loop_;
  net::HttpClient& client_;
  net::Address server_;
  std::string path_;
  std::shared_ptr<net::HttpCall> read_;
  std::shared_ptr<net::HttpCall> append_;
  /// Counts appends that are over, so that late answers are told apart.
  std::uint64_t append_generation_ = 0;
  net::Timer append_timeout_;
};

}  // namespace acaciaspring::journal

#endif  // ACACIASPRING_SRC_JOURNAL_LOG_CLIENT_H_
