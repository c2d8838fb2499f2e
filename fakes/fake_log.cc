#include "fakes/fake_log.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::fakes {

namespace {

constexpr std::uint64_t kLongestWaitMs = 60000;
constexpr std::uint64_t kDefaultBatchBytes = std::uint64_t{1} << 20;
constexpr Duration kTrimPeriod = std::chrono::milliseconds(100);

}  // namespace

FakeLog::FakeLog(net::Loop& loop, const net::Address& listen, const LogOptions& options)
    : retention_{std::chrono::milliseconds(options.retention_ms), options.retention_count},
      appends_(options.appends_per_second),
      service_(loop, listen, {"drop_answer_after_effect", "fail_before_effect"}) {
  service_.Route("POST", "/streams/{name}/records", [this](const Call& call) { Append(call); });
  service_.Route("GET", "/streams/{name}/records", [this](const Call& call) { Read(call); });
  service_.OnFaultsChanged([this] { AnswerReaders(); });
  service_.OnStats([this](Json::Value& stats) { AddStats(stats); });
  trim_timer_ = loop.Every(kTrimPeriod, [this] { TrimAll(); });
}

void FakeLog::Append(const Call& call) {
  if (service_.faults().Take("fail_before_effect")) {
    service_.Count("appends_failed_by_switch");
    RespondError(call.responder, 503, "unavailable", "failed before the effect");
    return;
  }
  if (!appends_.Allow(service_.loop().Now())) {
    service_.Count("appends_over_limit");
    RespondError(call.responder, 429, "too_many_appends", "limit of appends per second");
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
  RespondJson(call.responder, 200, body);
}

void FakeLog::Read(const Call& call) {
  service_.Count("reads");
  const std::uint64_t wait = std::min(QueryNumber(call.request, "wait_ms", 0), kLongestWaitMs);
  const Reader reader{
      .id = next_reader_++,
      .stream = call.parameters[0],
      .from = std::max<std::uint64_t>(1, QueryNumber(call.request, "from", 1)),
      .max_bytes = QueryNumber(call.request, "max_bytes", kDefaultBatchBytes),
      .expired = wait == 0,
      .responder = call.responder,
  };
  if (TryAnswer(reader)) {
    return;
  }
  readers_.push_back(reader);
  service_.After(std::chrono::milliseconds(wait), [this, id = reader.id] { Expire(id); });
}

void FakeLog::Expire(std::uint64_t reader_id) {
  for (Reader& reader : readers_) {
    reader.expired = reader.expired || reader.id == reader_id;
  }
  AnswerReaders();
}

void FakeLog::AnswerReaders() {
  std::erase_if(readers_, [this](const Reader& reader) { return TryAnswer(reader); });
}

bool FakeLog::TryAnswer(const Reader& reader) {
  if (reader.responder->closed()) {
    return true;
  }
  if (service_.faults().On("freeze")) {
    return false;
  }
  if (service_.faults().On("outage") || service_.faults().On("refuse")) {
    RespondError(reader.responder, 503, "unavailable", "refused by a fault switch");
    return true;
  }
  const LogStream& stream = streams_[reader.stream];
  // A reader below the retained range is answered at once, so that it learns of the gap.
  const bool ready = reader.from < stream.end_offset() || reader.from < stream.first_offset();
  if (!ready && !reader.expired) {
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

void FakeLog::TrimAll() {
  for (auto& [name, stream] : streams_) {
    stream.Trim(retention_, net::Loop::WallNow());
  }
}

void FakeLog::AddStats(Json::Value& stats) const {
  stats["waiting_readers"] = static_cast<Json::UInt64>(readers_.size());
  for (const auto& [name, stream] : streams_) {
    stats["streams"][name]["first"] = static_cast<Json::UInt64>(stream.first_offset());
    stats["streams"][name]["end"] = static_cast<Json::UInt64>(stream.end_offset());
  }
}

}  // namespace acaciaspring::fakes
