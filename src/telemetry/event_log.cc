#include <fcntl.h>
#include <json/json.h>
#include <unistd.h>

#include <algorithm>

#include "acaciaspring/telemetry.h"

namespace acaciaspring::telemetry {

namespace {

// Limit of the bytes that wait for a slow reader; lines above it are dropped.
constexpr std::size_t kMaxPendingBytes = std::size_t{64} << 10;

}  // namespace

EventLog::EventLog(EventLogOptions options)
    : options_(options),
      available_tokens_(options.burst),
      last_refill_(std::chrono::steady_clock::now()) {
  const int flags = fcntl(options_.file_descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(options_.file_descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

bool EventLog::TakeToken() {
  const auto now = std::chrono::steady_clock::now();
  const double seconds = std::chrono::duration<double>(now - last_refill_).count();
  last_refill_ = now;
  available_tokens_ =
      std::min(options_.burst, available_tokens_ + seconds * options_.lines_per_second);
  if (available_tokens_ < 1) {
    return false;
  }
  available_tokens_ -= 1;
  return true;
}

void EventLog::Write(std::string_view event, const std::vector<EventField>& fields) {
  Flush();
  if (!TakeToken() || pending_.size() > kMaxPendingBytes) {
    ++dropped_;
    ++unreported_drops_;
    return;
  }
  const auto wall_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  std::string line = R"({"time_ms":)" + std::to_string(wall_ms) + R"(,"event":)" +
                     Json::valueToQuotedString(std::string(event).c_str());
  for (const EventField& field : fields) {
    line += ",\"" + std::string(field.name) + "\":";
    line += std::visit(
        Overloaded{[](const std::string& text) { return Json::valueToQuotedString(text.c_str()); },
                   [](std::int64_t number) { return std::to_string(number); }},
        field.value);
  }
  if (unreported_drops_ > 0) {
    line += ",\"lines_dropped\":" + std::to_string(unreported_drops_);
    unreported_drops_ = 0;
  }
  pending_ += line + "}\n";
  Flush();
}

void EventLog::Flush() {
  while (!pending_.empty()) {
    const ssize_t written = write(options_.file_descriptor, pending_.data(), pending_.size());
    if (written <= 0) {
      return;
    }
    pending_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace acaciaspring::telemetry
