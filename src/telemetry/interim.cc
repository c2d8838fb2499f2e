#include "acaciaspring/telemetry.h"
namespace acaciaspring::telemetry {
struct Distribution::Impl {
  std::uint64_t n = 0;
  double s = 0;
};
Distribution::Distribution() : impl_(std::make_unique<Impl>()) {}
Distribution::~Distribution() = default;
void Distribution::Record(double v) {
  ++impl_->n;
  impl_->s += v;
}
struct Registry::Impl {
  std::map<std::string, Counter> c;
  std::map<std::string, Gauge> g;
  std::map<std::string, std::unique_ptr<Distribution>> d;
};
Registry::Registry() : impl_(std::make_unique<Impl>()) {}
Registry::~Registry() = default;
Counter& Registry::GetCounter(const std::string& n, std::string_view, const Labels&) {
  return impl_->c[n];
}
Gauge& Registry::GetGauge(const std::string& n, std::string_view, const Labels&) {
  return impl_->g[n];
}
Distribution& Registry::GetDistribution(const std::string& n, std::string_view, const Labels&) {
  auto& p = impl_->d[n];
  if (!p)
    p = std::make_unique<Distribution>();
  return *p;
}
std::string Registry::Text() const {
  std::string t;
  for (auto& [k, v] : impl_->c)
    t += k + " " + std::to_string(v.value()) + "\n";
  for (auto& [k, v] : impl_->g)
    t += k + " " + std::to_string(v.value()) + "\n";
  return t;
}
std::optional<TraceContext> ParseTraceparent(std::string_view) {
  return std::nullopt;
}
std::string FormatTraceparent(const TraceContext&) {
  return "";
}
struct Tracer::Impl {};
Tracer::Tracer(TracerOptions, Sink) {}
Tracer::~Tracer() = default;
Span Tracer::Start(std::string name, const std::optional<TraceContext>&, SpanTime now) {
  Span s;
  s.name = name;
  s.start = now;
  return s;
}
void Tracer::Finish(Span, SpanTime) {}
void Tracer::Flush() {}
}  // namespace acaciaspring::telemetry
