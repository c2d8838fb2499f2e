#ifndef FAKES_FAKE_LOG_H_
#define FAKES_FAKE_LOG_H_

#include <cstdint>
#include <list>
#include <map>
#include <string>

#include "fakes/fake_http_server.h"
#include "fakes/log_stream.h"

namespace acaciaspring::fakes {

struct LogOptions {
  /// Records older than this are dropped; 0 keeps them forever.
  std::int64_t retention_ms = 0;
  /// Maximum number of records per stream; 0 for no limit.
  std::size_t retention_count = 0;
  /// Appends beyond this rate get status 429; 0 for no limit.
  double appends_per_second = 500;
};

/// @brief Fake append-only log service with long-poll reads.
///
/// Fault switches besides those of FakeHttpServer, each a number of appends: fail_before_effect
/// (status 503, nothing is stored) and drop_answer_after_effect (the record is stored and the
/// connection is closed without a response).
class FakeLog {
 public:
  FakeLog(net::Loop& loop, const net::Address& listen, const LogOptions& options);
  net::Address address() const { return server_.address(); }

 private:
  struct WaitingReader {
    std::uint64_t id = 0;
    std::string stream;
    std::uint64_t from = 0;
    std::size_t max_bytes = 0;
    /// The maximum wait has passed, so the reader gets an empty response.
    bool wait_expired = false;
    net::HttpResponderPtr responder;
  };

  void Append(const Call& call);
  void Read(const Call& call);
  void ExpireWait(std::uint64_t reader_id);
  /// @brief Responds to every reader that has a record to read, whose wait has expired or whose
  /// read a fault switch refuses.
  void RespondToReaders();
  /// @brief True if the reader got a response or has disconnected.
  bool TryRespond(const WaitingReader& reader);
  void TrimStreams();
  void AddStats(Json::Value& stats) const;

  RetentionOptions retention_;
  RateLimiter append_limiter_;
  std::map<std::string, LogStream> streams_;
  std::list<WaitingReader> waiting_readers_;
  std::uint64_t next_reader_id_ = 1;
  net::Timer trim_timer_;
  FakeHttpServer server_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_FAKE_LOG_H_
