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

/// @brief An invalid metric name or label, or a metric name that is used with two types.
class MetricError : public Error {
 public:
  using Error::Error;
};

/// @brief A value that only increases.
class Counter {
 public:
  void Increment(std::uint64_t delta = 1) { value_ += delta; }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

/// @brief A value that can increase and decrease.
class Gauge {
 public:
  void Set(double value) { value_ = value; }
  void Add(double delta) { value_ += delta; }
  double value() const { return value_; }

 private:
  double value_ = 0;
};

enum class Quantile : std::uint8_t { kP50, kP95, kP99 };

/// @brief Count, sum, mean and quantiles of all recorded values, in constant memory.
class Distribution {
 public:
  Distribution();
  ~Distribution();
  Distribution(const Distribution&) = delete;
  Distribution& operator=(const Distribution&) = delete;
  /// @brief Adds a value; NaN and infinities are ignored.
  void Record(double value);
  std::uint64_t count() const;
  double sum() const;
  /// @brief 0 if no value was recorded.
  double mean() const;
  /// @brief Exact for up to 17 values, then an estimate (P-square algorithm); 0 if no value was
  /// recorded.
  double Value(Quantile quantile) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief Maps label names to values.
using Labels = std::map<std::string, std::string>;

/// @brief All metrics of a process. References to metrics stay valid for the lifetime of the
/// registry.
class Registry {
 public:
  Registry();
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;
  /// @brief Returns the metric with this name and these labels, and creates it on first use. Throws
  /// MetricError if the name or a label is invalid, or if the name is registered with another type.
  Counter& GetCounter(const std::string& name, std::string_view help, const Labels& labels = {});
  Gauge& GetGauge(const std::string& name, std::string_view help, const Labels& labels = {});
  Distribution& GetDistribution(const std::string& name,
                                std::string_view help,
                                const Labels& labels = {});
  /// @brief All metrics in the Prometheus text exposition format 0.0.4; a Distribution is exported
  /// as a summary.
  std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief One field of a log line.
struct EventField {
  std::string_view name;
  std::variant<std::string, std::int64_t> value;
};

struct EventLogOptions {
  /// Rate and burst size of the token bucket that limits the lines; excess lines are dropped.
  double lines_per_second = 300;
  double burst = 600;
  /// Output; switched to non-blocking mode.
  int file_descriptor = 1;
};

/// @brief Structured log: one JSON object per line with time, event name and fields. Lines are
/// dropped above the rate limit and while the reader of the output is too slow; the next line that
/// is written has the number of dropped lines in `lines_dropped`.
class EventLog {
 public:
  explicit EventLog(EventLogOptions options = {});
  void Write(std::string_view event, const std::vector<EventField>& fields);
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool TakeToken();
  void Flush();

  EventLogOptions options_;
  double available_tokens_;
  std::chrono::steady_clock::time_point last_refill_;
  std::uint64_t dropped_ = 0;
  std::uint64_t unreported_drops_ = 0;
  /// Bytes that could not be written yet because the output would block.
  std::string pending_;
};

inline constexpr std::string_view kMetricsContentType = "text/plain; version=0.0.4; charset=utf-8";

using TraceId = std::array<std::uint8_t, 16>;
using SpanId = std::array<std::uint8_t, 8>;
/// @brief Wall-clock time of a span's start or end.
using SpanTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

/// @brief Trace, span and sampling flag, as carried by the traceparent header.
struct TraceContext {
  TraceId trace{};
  SpanId span{};
  bool sampled = true;
  bool operator==(const TraceContext&) const = default;
};

/// @brief Parses a W3C traceparent header; std::nullopt if it is malformed.
std::optional<TraceContext> ParseTraceparent(std::string_view text);
/// @brief Formats a W3C traceparent header of version 00 (55 characters).
std::string FormatTraceparent(const TraceContext& context);
std::string ToHex(const TraceId& id);
std::string ToHex(const SpanId& id);

enum class SpanStatus : std::uint8_t { kUnset, kOk, kError };

using AttributeValue = std::variant<std::string, std::int64_t, double, bool>;

/// @brief One timed operation of a trace.
struct Span {
  TraceContext context;
  /// Absent for the root span of a trace.
  std::optional<SpanId> parent;
  std::string name;
  SpanTime start;
  SpanTime end;
  std::vector<std::pair<std::string, AttributeValue>> attributes;
  SpanStatus status = SpanStatus::kUnset;
  /// Exported only if `status` is kError.
  std::string status_message;
};

/// @brief Discards all spans.
struct NoSink {};
/// @brief Appends one OTLP JSON document per line.
struct FileSink {
  std::string path;
};
/// @brief Posts OTLP JSON to a collector. The client must outlive the tracer.
struct CollectorSink {
  net::HttpClient* client = nullptr;
  net::Address collector;
  std::string target = "/v1/traces";
  Duration timeout = std::chrono::seconds(10);
};
using Sink = std::variant<NoSink, FileSink, CollectorSink>;

struct TracerOptions {
  std::string service_name = "acaciaspringd";
  /// Exported as the resource attribute service.instance.id; omitted if empty.
  std::string instance;
  /// Capacity of the queue of finished spans; further spans are dropped and counted.
  std::size_t max_queued_spans = 4096;
  std::size_t max_batch_spans = 256;
  /// Longer names, attribute keys, string values and status messages are truncated.
  std::size_t max_text_bytes = 1024;
  std::size_t max_attributes = 32;
};

struct TracerCounters {
  std::uint64_t exported = 0;
  /// Spans that were not exported because the queue was full or the sink failed.
  std::uint64_t dropped = 0;
  /// Batches that the sink did not accept.
  std::uint64_t failed_batches = 0;
};

/// @brief Creates spans and exports finished spans in batches.
class Tracer {
 public:
  Tracer(TracerOptions options, Sink sink);
  ~Tracer();
  Tracer(const Tracer&) = delete;
  Tracer& operator=(const Tracer&) = delete;

  /// @brief Creates a span with a random id. Without a parent it is the root span of a new trace.
  static Span Start(std::string name, const std::optional<TraceContext>& parent, SpanTime now);
  /// @brief Sets the end of the span and queues it for export. Spans of unsampled traces are
  /// discarded.
  void Finish(Span span, SpanTime now);
  /// @brief Exports at most one batch. Does nothing while the collector has not responded to the
  /// previous batch. To be called periodically, about once per second.
  void Flush();
  std::size_t queued() const;
  const TracerCounters& counters() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// @brief Formats the spans as one OTLP/JSON ExportTraceServiceRequest.
std::string FormatOtlpJson(const TracerOptions& options, const std::vector<Span>& spans);

}  // namespace acaciaspring::telemetry

#endif  // ACACIASPRING_TELEMETRY_H_
