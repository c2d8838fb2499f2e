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
  /// Age at which records are dropped; 0 for never.
  std::int64_t retention_ms = 0;
  /// Records kept; 0 for all.
  std::size_t retention_count = 0;
  /// Further appends are answered with 429; 0 for no limit.
  double appends_per_second = 500;
};

/// @brief Append-only log service with long-poll reads.
class FakeLog {
 public:
  FakeLog(net::Loop& loop, const net::Address& listen, const LogOptions& options);
  net::Address address() const { return service_.address(); }

 private:
  struct Reader {
    std::uint64_t id = 0;
    std::string stream;
    std::uint64_t from = 0;
    std::size_t max_bytes = 0;
    /// The wait is over, so that an empty answer is due.
    bool expired = false;
    net::HttpResponderPtr responder;
  };

  void Append(const Call& call);
  void Read(const Call& call);
  void Expire(std::uint64_t reader_id);
  /// @brief Answers every waiting reader that has a record, has waited long enough or is refused.
  void AnswerReaders();
  bool TryAnswer(const Reader& reader);
  void TrimAll();
  void AddStats(Json::Value& stats) const;

  RetentionOptions retention_;
  RateLimit appends_;
  std::map<std::string, LogStream> streams_;
  std::list<Reader> readers_;
  std::uint64_t next_reader_ = 1;
  net::Timer trim_timer_;
  FakeHttpServer service_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_FAKE_LOG_H_
