#include "fakes/fake_log.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::fakes {

namespace {

constexpr std::uint64_t kMaxWaitMs = 60000;
constexpr std::uint64_t kDefaultBatchBytes = std::uint64_t{1} << 20;
constexpr Duration kTrimPeriod = std::chrono::milliseconds(100);

}  // namespace

FakeLog::FakeLog(net::Loop& loop, const net::Address& listen, const LogOptions& options)
    : retention_{std::chrono::milliseconds(options.retention_ms), options.retention_count},
      append_limiter_(options.appends_per_second),
      server_(loop, listen, {"drop_answer_after_effect", "fail_before_effect"}) {
  server_.Route("POST", "/streams/{name}/records", [this](const Call& call) { Append(call); });
  server_.Route("GET", "/streams/{name}/records", [this](const Call& call) { Read(call); });
  server_.OnFaultsChanged([this] { RespondToReaders(); });
  server_.OnStats([this](Json::Value& stats) { AddStats(stats); });
  trim_timer_ = loop.Every(kTrimPeriod, [this] { TrimStreams(); });
}

void FakeLog::Append(const Call& call) {
  if (server_.faults().Consume("fail_before_effect")) {
    server_.Count("appends_failed_by_switch");
    RespondError(call.responder, 503, "unavailable",
                 "append failed before it took effect (fault switch)");
    return;
  }
  if (!append_limiter_.Allow(server_.loop().Now())) {
    server_.Count("appends_over_limit");
    RespondError(call.responder, 429, "too_many_appends", "limit of appends per second exceeded");
    return;
  }
  const std::uint64_t offset =
      streams_[call.parameters[0]].Append(call.request.body, net::Loop::WallNow());
  server_.Count("appends");
  server_.Count("appended_bytes", call.request.body.size());
  TrimStreams();
  RespondToReaders();
  if (server_.faults().Consume("drop_answer_after_effect")) {
    server_.Count("answers_dropped");
    CloseConnection(call.responder);
    return;
  }
  Json::Value body;
  body["offset"] = static_cast<Json::UInt64>(offset);
  RespondJson(call.responder, 200, body);
}

void FakeLog::Read(const Call& call) {
  server_.Count("reads");
  const std::uint64_t wait = std::min(QueryNumber(call.request, "wait_ms", 0), kMaxWaitMs);
  const WaitingReader reader{
      .id = next_reader_id_++,
      .stream = call.parameters[0],
      .from = std::max<std::uint64_t>(1, QueryNumber(call.request, "from", 1)),
      .max_bytes = QueryNumber(call.request, "max_bytes", kDefaultBatchBytes),
      .wait_expired = wait == 0,
      .responder = call.responder,
  };
  if (TryRespond(reader)) {
    return;
  }
  waiting_readers_.push_back(reader);
  server_.After(std::chrono::milliseconds(wait), [this, id = reader.id] { ExpireWait(id); });
}

void FakeLog::ExpireWait(std::uint64_t reader_id) {
  for (WaitingReader& reader : waiting_readers_) {
    reader.wait_expired = reader.wait_expired || reader.id == reader_id;
  }
  RespondToReaders();
}

void FakeLog::RespondToReaders() {
  std::erase_if(waiting_readers_,
                [this](const WaitingReader& reader) { return TryRespond(reader); });
}

bool FakeLog::TryRespond(const WaitingReader& reader) {
  if (reader.responder->closed()) {
    return true;
  }
  if (server_.faults().IsOn("freeze")) {
    return false;
  }
  if (server_.faults().IsOn("outage") || server_.faults().IsOn("refuse")) {
    RespondError(reader.responder, 503, "unavailable", "call refused by a fault switch");
    return true;
  }
  const LogStream& stream = streams_[reader.stream];
  // A reader below the retained range gets its response immediately, so that it detects the gap.
  const bool ready = reader.from < stream.end_offset() || reader.from < stream.first_offset();
  if (!ready && !reader.wait_expired) {
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

void FakeLog::TrimStreams() {
  for (auto& [name, stream] : streams_) {
    stream.Trim(retention_, net::Loop::WallNow());
  }
}

void FakeLog::AddStats(Json::Value& stats) const {
  stats["waiting_readers"] = static_cast<Json::UInt64>(waiting_readers_.size());
  for (const auto& [name, stream] : streams_) {
    stats["streams"][name]["first"] = static_cast<Json::UInt64>(stream.first_offset());
    stats["streams"][name]["end"] = static_cast<Json::UInt64>(stream.end_offset());
  }
}

}  // namespace acaciaspring::fakes
