#include <json/json.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string_view>

#include "acaciaspring/ctl.h"

namespace acaciaspring::ctl {

namespace {

struct LogLine {
  std::int64_t time_ms = 0;
  Json::Value fields;
};

struct CauseDescription {
  std::string_view reason;
  std::string_view text;
};

constexpr std::array<CauseDescription, 16> kCauses = {{
    {"answered", "the complete response of the endpoint was forwarded to the caller"},
    {"budget_spent",
     "the remaining token budget of the program is too small for another turn; see event "
     "budget_spent"},
    {"unknown_turn",
     "the previous turn is in no partition; the store confirmed the owners of all partitions"},
    {"turn_search_incomplete",
     "the previous turn was not found, and at least one partition could not be queried"},
    {"no_owner",
     "the program's partition had no owner for half of the remaining time to the deadline"},
    {"owner_changed",
     "the partition changed its owner during the turn, and no daemon could record the turn"},
    {"timeout",
     "the deadline passed before the endpoint completed its response or before the record of the "
     "turn was acknowledged (see event store_lost)"},
    {"deadline_exceeded", "the deadline passed before an endpoint ran the request"},
    {"connection_lost",
     "the connection to the endpoint closed before the response was complete, or its response may "
     "belong to another request; see events attempt_failed and response_not_believed"},
    {"no_endpoint", "no endpoint of the service is registered as ready"},
    {"endpoints_leave",
     "every registered endpoint of the service has said in a response that it leaves; see event "
     "endpoint_leaves"},
    {"overloaded", "every endpoint that was tried rejected the request without running it"},
    {"endpoint_unavailable", "the endpoints that were tried refused the connection"},
    {"no_route", "the configuration in force has no route for the host and path of the request"},
    {"no_configuration", "the daemon had not loaded a configuration yet"},
    {"caller_gone", "the caller closed its connection"},
}};

std::optional<LogLine> ParseLine(const std::string& line) {
  // Log collectors may put a timestamp and a process name before the JSON object.
  const std::size_t begin = line.find('{');
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  LogLine parsed;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(line.data() + begin, line.data() + line.size(), &parsed.fields, nullptr) ||
      !parsed.fields.isObject() || !parsed.fields["time_ms"].isInt64() ||
      !parsed.fields["event"].isString()) {
    return std::nullopt;
  }
  parsed.time_ms = parsed.fields["time_ms"].asInt64();
  return parsed;
}

std::string FormatLogLine(const LogLine& line) {
  std::string text = std::to_string(line.time_ms) + "  " + line.fields["event"].asString();
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  for (const std::string& name : line.fields.getMemberNames()) {
    if (name != "time_ms" && name != "event") {
      text += "  " + name + "=" + Json::writeString(builder, line.fields[name]);
    }
  }
  return text;
}

std::string_view DescribeCause(const Json::Value& request) {
  const std::string outcome = request["outcome"].asString();
  const std::string reason = outcome.substr(outcome.find(':') + 1);
  const auto description =
      std::find_if(kCauses.begin(), kCauses.end(),
                   [&](const CauseDescription& cause) { return cause.reason == reason; });
  return description == kCauses.end()
             ? std::string_view("no explanation for this outcome; see the last line")
             : description->text;
}

/// @brief True for events that carry no request id but can explain the outcome: loss and return of
/// the store, and state changes of the partition of the request.
bool IsRelatedEvent(const LogLine& line, std::int64_t partition) {
  const std::string event = line.fields["event"].asString();
  return event == "store_lost" || event == "store_regained" || event == "endpoint_leaves" ||
         event == "endpoint_returned" ||
         (event == "partition" && line.fields["partition"].isInt64() &&
          line.fields["partition"].asInt64() == partition);
}

}  // namespace

ExitCode ExplainRequest(const std::string& request_id,
                        const std::vector<std::string>& lines,
                        std::ostream& out) {
  std::vector<LogLine> parsed;
  for (const std::string& line : lines) {
    if (auto entry = ParseLine(line)) {
      parsed.push_back(std::move(*entry));
    }
  }
  std::stable_sort(parsed.begin(), parsed.end(), [](const LogLine& left, const LogLine& right) {
    return left.time_ms < right.time_ms;
  });
  constexpr std::int64_t kNoPartition = -1;
  std::int64_t partition = kNoPartition;
  std::int64_t begin = INT64_MAX;
  std::int64_t end = INT64_MIN;
  const LogLine* request_event = nullptr;
  for (const LogLine& line : parsed) {
    if (line.fields["id"].asString() != request_id) {
      continue;
    }
    begin = std::min(begin, line.time_ms - line.fields["total_ms"].asInt64());
    end = std::max(end, line.time_ms);
    if (line.fields["partition"].isInt64()) {
      partition = line.fields["partition"].asInt64();
    }
    if (line.fields["event"] == "request") {
      request_event = &line;
    }
  }
  if (end == INT64_MIN) {
    out << "no log line has the id of request " << request_id << "\n";
    return ExitCode::kFailed;
  }
  // Events shortly before the start of the request can explain its outcome.
  constexpr std::int64_t kLookbackMs = 3000;
  for (const LogLine& line : parsed) {
    const bool matches_request = line.fields["id"].asString() == request_id;
    const bool in_window = line.time_ms >= begin - kLookbackMs && line.time_ms <= end;
    if (matches_request || (in_window && IsRelatedEvent(line, partition))) {
      out << FormatLogLine(line) << "\n";
    }
  }
  out << "cause: "
      << (request_event == nullptr ? "unknown; the logs hold no request event of the entry daemon"
                                   : DescribeCause(request_event->fields))
      << "\n";
  return ExitCode::kOk;
}

}  // namespace acaciaspring::ctl
