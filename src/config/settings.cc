#include "src/config/object_reader.h"

namespace acaciaspring::config {

namespace {

constexpr std::uint64_t kMinuteMs = 60'000;
constexpr std::uint64_t kDayMs = std::uint64_t{24} * 60 * kMinuteMs;
constexpr std::size_t kMaxPathBytes = 4096;
constexpr std::size_t kMaxSeeds = 64;

void ReadTrace(ObjectReader& settings, TraceTarget& target, std::vector<Diagnostic>& diagnostics) {
  const SourceNode* node = settings.FindObject("trace");
  if (node == nullptr) {
    return;
  }
  ObjectReader reader(node, "trace", diagnostics);
  std::string file;
  std::optional<SocketAddress> collector;
  reader.ReadString("file", file, 1, kMaxPathBytes);
  reader.ReadOptionalAddress("collector", collector);
  reader.ReportUnknownKeys();
  if (reader.HasKey("file") == reader.HasKey("collector")) {
    settings.ReportError("trace", DiagnosticCode::kConflict,
                         "must have exactly one of the keys file and collector");
  } else if (collector) {
    target = TraceCollector{*collector};
  } else {
    target = TraceFile{file};
  }
}

void ReadTimings(ObjectReader& reader, Settings& settings) {
  reader.ReadMilliseconds("entries_ttl_ms", settings.entries_ttl, 100, 10 * kMinuteMs);
  reader.ReadMilliseconds("log_unavailable_after_ms", settings.log_unavailable_after, 100,
                          kMinuteMs);
  reader.ReadDouble("log_appends_per_second", settings.log_appends_per_second, 0.1, 10'000);
  reader.ReadMilliseconds("retention_ms", settings.retention, 1000, 365 * kDayMs);
  reader.ReadMilliseconds("probe_period_ms", settings.probe_period, 10, kMinuteMs);
  reader.ReadMilliseconds("suspect_after_ms", settings.suspect_after, 10, 10 * kMinuteMs);
  reader.ReadMilliseconds("call_deadline_ms", settings.call_deadline, 100, kDayMs);
  if (settings.suspect_after < settings.probe_period) {
    reader.ReportError("suspect_after_ms", DiagnosticCode::kConflict,
                       "must be at least probe_period_ms");
  }
}

}  // namespace

Settings ParseSettings(std::string_view text, const std::string& file_name) {
  const SourceNode root = ParseSourceNode(text, file_name);
  std::vector<Diagnostic> diagnostics;
  Settings settings;
  ObjectReader reader(&root, "", diagnostics);
  reader.RequireKeys(
      {"daemon", "zone", "region", "vm", "http", "peer", "log", "cluster_key", "operator_key"});
  reader.ReadIdentifier("daemon", settings.daemon);
  reader.ReadIdentifier("zone", settings.zone);
  StrongString<struct RegionTag> region;
  reader.ReadIdentifier("region", region);
  settings.region = region.value();
  reader.ReadIdentifier("vm", settings.vm);
  reader.ReadAddress("http", settings.http);
  reader.ReadAddress("peer", settings.peer);
  reader.ReadAddresses("seeds", settings.seeds);
  reader.ReadAddress("log", settings.log);
  reader.ReadOptionalAddress("vm_list", settings.vm_list);
  reader.ReadSecretKey("cluster_key", settings.cluster_key);
  reader.ReadSecretKey("operator_key", settings.operator_key);
  ReadTrace(reader, settings.trace, diagnostics);
  ReadTimings(reader, settings);
  if (settings.seeds.size() > kMaxSeeds) {
    reader.ReportError("seeds", DiagnosticCode::kOutOfRange, "must have at most 64 addresses");
  }
  if (settings.http.port != 0 && settings.http == settings.peer) {
    reader.ReportError("peer", DiagnosticCode::kConflict, "must differ from the address of http");
  }
  reader.ReportUnknownKeys();
  if (!diagnostics.empty()) {
    throw ConfigError(std::move(diagnostics));
  }
  return settings;
}

Settings LoadSettings(const std::string& path) {
  return ParseSettings(ReadFile(path), path);
}

}  // namespace acaciaspring::config
