// Append-only log service with long-poll reads.

#include <glog/logging.h>

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "fakes/log_stream.h"
#include "fakes/service.h"

namespace acaciaspring::fakes {

namespace {

namespace po = boost::program_options;

constexpr std::uint64_t kLongestWaitMs = 60000;
constexpr std::uint64_t kDefaultBatchBytes = std::uint64_t{1} << 20;
constexpr Duration kTrimPeriod = std::chrono::milliseconds(100);

struct LogOptions {
  std::int64_t retention_ms = 0;
  std::size_t retention_count = 0;
  double appends_per_second = 500;
};

class FakeLog {
 public:
  FakeLog(net::Loop& loop, const net::Address& listen, const LogOptions& options)
      : retention_{std::chrono::milliseconds(options.retention_ms), options.retention_count},
        appends_(options.appends_per_second),
        service_(loop, listen, {"drop_answer_after_effect", "fail_before_effect"}) {
    service_.Route("POST", "/streams/{name}/records", [this](const Call& call) { Append(call); });
    service_.Route("GET", "/streams/{name}/records", [this](const Call& call) { Read(call); });
    service_.OnFaultsChanged([this] { AnswerReaders(); });
    service_.OnStats([this](Json::Value& stats) { AddStats(stats); });
    trim_timer_ = loop.Every(kTrimPeriod, [this] { TrimAll(); });
  }

 private:
  struct Reader {
    std::string stream;
    std::uint64_t from = 0;
    std::size_t max_bytes = 0;
    MonotonicTime until;
    net::HttpResponderPtr responder;
  };

  void Append(const Call& call) {
    if (service_.faults().Take("fail_before_effect")) {
      service_.Count("appends_failed_by_switch");
      AnswerError(call.responder, 503, "unavailable", "failed before the effect");
      return;
    }
    if (!appends_.Allow(service_.loop().Now())) {
      service_.Count("appends_over_limit");
      AnswerError(call.responder, 429, "too_many_appends", "limit of appends per second");
      return;
    }
    const std::uint64_t offset =
        streams_[call.parameters[0]].Append(call.request.body, net::Loop::WallNow());
    service_.Count("appends");
    service_.Count("appended_bytes", call.request.body.size());
    TrimAll();
    AnswerReaders();
    if (service_.faults().Take("drop_answer_after_effect")) {
      service_.Count("answers_dropped");
      CloseConnection(call.responder);
      return;
    }
    Json::Value body;
    body["offset"] = static_cast<Json::UInt64>(offset);
    AnswerJson(call.responder, 200, body);
  }

  void Read(const Call& call) {
    service_.Count("reads");
    const std::uint64_t wait = std::min(QueryNumber(call.request, "wait_ms", 0), kLongestWaitMs);
    Reader reader{
        .stream = call.parameters[0],
        .from = std::max<std::uint64_t>(1, QueryNumber(call.request, "from", 1)),
        .max_bytes = QueryNumber(call.request, "max_bytes", kDefaultBatchBytes),
        .until = service_.loop().Now() + std::chrono::milliseconds(wait),
        .responder = call.responder,
    };
    if (TryAnswer(reader)) {
      return;
    }
    readers_.push_back(std::move(reader));
    service_.After(std::chrono::milliseconds(wait), [this] { AnswerReaders(); });
  }

  // Answers every waiting reader that has a record, has waited long enough or is refused.
  void AnswerReaders() {
    std::erase_if(readers_, [this](const Reader& reader) { return TryAnswer(reader); });
  }

  bool TryAnswer(const Reader& reader) {
    if (reader.responder->closed()) {
      return true;
    }
    if (service_.faults().On("freeze")) {
      return false;
    }
    if (service_.faults().On("outage") || service_.faults().On("refuse")) {
      AnswerError(reader.responder, 503, "unavailable", "refused by a fault switch");
      return true;
    }
    const LogStream& stream = streams_[reader.stream];
    // A reader below the retained range is answered at once, so that it learns of the gap.
    const bool ready = reader.from < stream.end_offset() || reader.from < stream.first_offset();
    if (!ready && service_.loop().Now() < reader.until) {
      return false;
    }
    LogStream::Batch batch = stream.Read(reader.from, reader.max_bytes);
    reader.responder->Respond(200,
                              {{"content-type", "application/octet-stream"},
                               {"x-next-offset", std::to_string(batch.next)},
                               {"x-first-offset", std::to_string(stream.first_offset())}},
                              batch.body);
    return true;
  }

  void TrimAll() {
    for (auto& [name, stream] : streams_) {
      stream.Trim(retention_, net::Loop::WallNow());
    }
  }

  void AddStats(Json::Value& stats) const {
    stats["waiting_readers"] = static_cast<Json::UInt64>(readers_.size());
    for (const auto& [name, stream] : streams_) {
      stats["streams"][name]["first"] = static_cast<Json::UInt64>(stream.first_offset());
      stats["streams"][name]["end"] = static_cast<Json::UInt64>(stream.end_offset());
    }
  }

  RetentionOptions retention_;
  RateLimit appends_;
  std::map<std::string, LogStream> streams_;
  std::list<Reader> readers_;
  net::Timer trim_timer_;
  Service service_;
};

}  // namespace

}  // namespace acaciaspring::fakes

int main(int argc, char** argv) {
  namespace fakes = acaciaspring::fakes;
  namespace po = boost::program_options;
  fakes::LogOptions options;
  po::options_description description("fake_log");
  description.add_options()("retention-ms", po::value(&options.retention_ms),
                            "age at which records are dropped, 0 for never")(
      "retention-count", po::value(&options.retention_count), "records kept, 0 for all")(
      "appends-per-second", po::value(&options.appends_per_second), "limit, 0 for none");
  return fakes::RunFake(
      argc, argv, description,
      [&options](acaciaspring::net::Loop& loop, const acaciaspring::net::Address& listen) {
        return std::make_shared<fakes::FakeLog>(loop, listen, options);
      });
}
