#include "fakes/log_stream.h"

#include <algorithm>

namespace acaciaspring::fakes {

namespace {

constexpr std::size_t kRecordHeaderBytes = 20;

void AppendBigEndian(std::string& out, std::uint64_t value, int bytes) {
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((value >> shift) & 0xff));
  }
}

}  // namespace

std::uint64_t LogStream::Append(std::string_view bytes, WallTime now) {
  // Append times never decrease, even if the wall clock is set back.
  const WallTime time = records_.empty() ? now : std::max(now, records_.back().time);
  records_.push_back({time, std::string(bytes)});
  return end_offset() - 1;
}

void LogStream::Trim(const RetentionOptions& retention, WallTime now) {
  const auto expired = [&] {
    return (retention.count > 0 && records_.size() > retention.count) ||
           (retention.age.count() > 0 && now - records_.front().time > retention.age);
  };
  while (!records_.empty() && expired()) {
    records_.pop_front();
    ++first_;
  }
}

LogStream::Batch LogStream::Read(std::uint64_t from, std::size_t max_bytes) const {
  Batch batch;
  batch.next = std::clamp(from, first_, end_offset());
  while (batch.next < end_offset()) {
    const Record& record = records_[batch.next - first_];
    const std::size_t size = kRecordHeaderBytes + record.bytes.size();
    if (!batch.body.empty() && batch.body.size() + size > max_bytes) {
      break;
    }
    AppendBigEndian(batch.body, batch.next, 8);
    AppendBigEndian(batch.body, static_cast<std::uint64_t>(record.time.time_since_epoch().count()),
                    8);
    AppendBigEndian(batch.body, record.bytes.size(), 4);
    batch.body += record.bytes;
    ++batch.next;
  }
  return batch;
}

}  // namespace acaciaspring::fakes
