#ifndef ACACIASPRING_TELEMETRY_H_
#define ACACIASPRING_TELEMETRY_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "acaciaspring/base.h"
#include "acaciaspring/net.h"

namespace acaciaspring::telemetry {

/// @brief A metric name, label or use of a metric that the exposition format does not allow.
class MetricError : public Error {
 public:
  using Error::Error;
};

/// @brief A value that only grows.
class Counter {
 public:
  void Increment(std::uint64_t by = 1) { value_ += by; }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

/// @brief A value that goes up and down.
class Gauge {
 public:
  void Set(double value) { value_ = value; }
  void Add(double by) { value_ += by; }
  double value() const { return value_; }

 private:
  double value_ = 0;
};

enum class Quantile : std::uint8_t { kP50, kP95, kP99 };

/// @brief Count, mean and quantiles of everything recorded since the start, in constant memory.
class Distribution {
 public:
  Distribution();
  ~Distribution();
  Distribution(const Distribution&) = delete;
  Distribution& operator=(const Distribution&) = delete;
  /// @brief Values that are not finite are ignored.
  void Record(double value);
  std::uint64_t count() const;
  double sum() const;
  /// @brief 0 before the first value.
  double mean() const;
  /// @brief Exact for the first 17 values, then an estimate (P-square); 0 before the first.
  double Value(Quantile quantile) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief Label names and values.
using Labels = std::map<std::string, std::string>;

/// @brief All metrics of a process. The returned references stay valid as long as the registry.
class Registry {
 public:
  Registry();
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;
  /// @brief Returns the metric of that name and labels, which is created on first use. Throws
  /// MetricError for a malformed name or label, or a name that is used for another kind.
  Counter& GetCounter(const std::string& name, std::string_view help, const Labels& labels = {});
  Gauge& GetGauge(const std::string& name, std::string_view help, const Labels& labels = {});
  Distribution& GetDistribution(const std::string& name,
                                std::string_view help,
                                const Labels& labels = {});
  /// @brief Prometheus text exposition format 0.0.4; distributions are summaries.
  std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief One field of an event log line.
struct EventField {
  std::string_view name;
  std::variant<std::string, std::int64_t> value;
};

struct EventLogOptions {
  /// Lines a second and lines at once; more are dropped and counted.
  double lines_per_second = 300;
  double burst = 600;
  /// Where the lines go; written without blocking.
  int file_descriptor = 1;
};

/// @brief Structured log: a JSON object a line with time, event name and fields. Lines beyond the
/// rate, and lines that the reader does not take, are dropped; the next line tells how many.
class EventLog {
 public:
  explicit EventLog(EventLogOptions options = {});
  void Write(std::string_view event, const std::vector<EventField>& fields);
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool TakeToken();
  void Flush();

  EventLogOptions options_;
  double tokens_;
  std::chrono::steady_clock::time_point refilled_at_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_unreported_ = 0;
  /// The rest of a line that the reader has not taken yet.
  std::string pending_;
};

inline constexpr std::string_view kMetricsContentType = "text/plain; version=0.0.4; charset=utf-8";

using TraceId = std::array<std::uint8_t, 16>;
using SpanId = std::array<std::uint8_t, 8>;
/// @brief Wall-clock time of spans.
using SpanTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

/// @brief Position in a trace, as carried by the traceparent header.
struct TraceContext {
  TraceId trace{};
  SpanId span{};
  bool sampled = true;
  bool operator==(const TraceContext&) const = default;
};

/// @brief Parses a W3C traceparent header; nothing when it is malformed.
std::optional<TraceContext> ParseTraceparent(std::string_view text);
/// @brief Version 00, 55 characters.
std::string FormatTraceparent(const TraceContext& context);
std::string ToHex(const TraceId& id);
std::string ToHex(const SpanId& id);

enum class SpanStatus : std::uint8_t { kUnset, kOk, kError };

using AttributeValue = std::variant<std::string, std::int64_t, double, bool>;

/// @brief One timed operation of a trace.
struct Span {
  TraceContext context;
  /// Nothing for the root of a trace.
  std::optional<SpanId> parent;
  std::string name;
  SpanTime start;
  SpanTime end;
  std::vector<std::pair<std::string, AttributeValue>> attributes;
  SpanStatus status = SpanStatus::kUnset;
  /// Only exported with kError.
  std::string status_message;
};

/// @brief Spans are discarded.
struct NoSink {};
/// @brief Appends one OTLP JSON document per line.
struct FileSink {
  std::string path;
};
/// @brief Posts OTLP JSON to a collector. The client outlives the tracer.
struct CollectorSink {
  net::HttpClient* client = nullptr;
  net::Address collector;
  std::string target = "/v1/traces";
  Duration timeout = std::chrono::seconds(10);
};
using Sink = std::variant<NoSink, FileSink, CollectorSink>;

struct TracerOptions {
  std::string service_name = "acaciaspringd";
  /// service.instance.id of the exported spans.
  std::string instance;
  /// Finished spans that wait; further ones are dropped and counted.
  std::size_t max_queued_spans = 4096;
  std::size_t max_batch_spans = 256;
  /// Longer names, attribute keys and string values are cut.
  std::size_t max_text_bytes = 1024;
  std::size_t max_attributes = 32;
};

struct TracerCounters {
  std::uint64_t exported = 0;
  /// Not exported because the queue was full or the sink failed.
  std::uint64_t dropped = 0;
  /// Batches that the sink did not accept.
  std::uint64_t failed_batches = 0;
};

/// @brief Makes spans and exports the finished ones in batches.
class Tracer {
 public:
  Tracer(TracerOptions options, Sink sink);
  ~Tracer();
  Tracer(const Tracer&) = delete;
  Tracer& operator=(const Tracer&) = delete;

  /// @brief A span with fresh random ids; without a parent it starts a new trace.
  static Span Start(std::string name, const std::optional<TraceContext>& parent, SpanTime now);
  /// @brief Queues a span for export, unless its trace is not sampled.
  void Finish(Span span, SpanTime now);
  /// @brief Hands at most one batch to the sink. A collector gets one batch at a time: the call
  /// does nothing while an answer is outstanding. Call every second or so.
  void Flush();
  std::size_t queued() const;
  const TracerCounters& counters() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// @brief One OTLP/JSON ExportTraceServiceRequest.
std::string FormatOtlpJson(const TracerOptions& options, const std::vector<Span>& spans);

}  // namespace acaciaspring::telemetry

#endif  // ACACIASPRING_TELEMETRY_H_
