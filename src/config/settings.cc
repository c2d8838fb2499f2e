#include "src/config/object_reader.h"

namespace acaciaspring::config {

namespace {

constexpr std::uint64_t kMinuteMs = 60'000;
constexpr std::uint64_t kDayMs = 24 * 60 * kMinuteMs;
constexpr std::size_t kMaxPathBytes = 4096;
constexpr std::size_t kMaxSeeds = 64;

void ReadTrace(ObjectReader& settings, TraceTarget& target, std::vector<Diagnostic>& diagnostics) {
  const SourceNode* node = settings.Object("trace");
  if (node == nullptr) {
    return;
  }
  ObjectReader reader(node, "trace", diagnostics);
  std::string file;
  std::optional<SocketAddress> collector;
  reader.Text("file", file, 1, kMaxPathBytes);
  reader.OptionalAddress("collector", collector);
  reader.Finish();
  if (reader.Has("file") == reader.Has("collector")) {
    settings.AddAt("trace", DiagnosticCode::kConflict, "must have either file or collector");
  } else if (collector) {
    target = TraceCollector{*collector};
  } else {
    target = TraceFile{file};
  }
}

void ReadTimes(ObjectReader& reader, Settings& settings) {
  reader.Milliseconds("entries_ttl_ms", settings.entries_ttl, 100, 10 * kMinuteMs);
  reader.Milliseconds("log_unavailable_after_ms", settings.log_unavailable_after, 100, kMinuteMs);
  reader.Real("log_appends_per_second", settings.log_appends_per_second, 0.1, 10'000);
  reader.Milliseconds("retention_ms", settings.retention, 1000, 365 * kDayMs);
  reader.Milliseconds("probe_period_ms", settings.probe_period, 10, kMinuteMs);
  reader.Milliseconds("suspect_after_ms", settings.suspect_after, 10, 10 * kMinuteMs);
  reader.Milliseconds("call_deadline_ms", settings.call_deadline, 100, kDayMs);
  if (settings.suspect_after < settings.probe_period) {
    reader.AddAt("suspect_after_ms", DiagnosticCode::kConflict,
                 "must not be below probe_period_ms");
  }
}

}  // namespace

Settings ParseSettings(std::string_view text, const std::string& file_name) {
  const SourceNode root = ParseSource(text, file_name);
  std::vector<Diagnostic> diagnostics;
  Settings settings;
  ObjectReader reader(&root, "", diagnostics);
  reader.Require(
      {"daemon", "zone", "region", "vm", "http", "peer", "log", "cluster_key", "operator_key"});
  reader.Identifier("daemon", settings.daemon);
  reader.Identifier("zone", settings.zone);
  StrongString<struct RegionTag> region;
  reader.Identifier("region", region);
  settings.region = region.value();
  reader.Identifier("vm", settings.vm);
  reader.Address("http", settings.http);
  reader.Address("peer", settings.peer);
  reader.Addresses("seeds", settings.seeds);
  reader.Address("log", settings.log);
  reader.OptionalAddress("vm_list", settings.vm_list);
  reader.SecretKey("cluster_key", settings.cluster_key);
  reader.SecretKey("operator_key", settings.operator_key);
  ReadTrace(reader, settings.trace, diagnostics);
  ReadTimes(reader, settings);
  if (settings.seeds.size() > kMaxSeeds) {
    reader.AddAt("seeds", DiagnosticCode::kOutOfRange, "must be at most 64 addresses");
  }
  if (settings.http.port != 0 && settings.http == settings.peer) {
    reader.AddAt("peer", DiagnosticCode::kConflict, "must differ from http");
  }
  reader.Finish();
  if (!diagnostics.empty()) {
    throw ConfigError(std::move(diagnostics));
  }
  return settings;
}

Settings LoadSettings(const std::string& path) {
  return ParseSettings(ReadFile(path), path);
}

}  // namespace acaciaspring::config
