#include <algorithm>
#include <filesystem>
#include <system_error>

#include "src/config/object_reader.h"

namespace acaciaspring::config {

namespace {

constexpr std::uint64_t kDayMs = std::uint64_t{24} * 3600 * 1000;
constexpr std::uint64_t kMaxTokens = 1'000'000'000'000;
constexpr std::uint32_t kMaxCount = 1'000'000;
constexpr std::size_t kMaxOperationBytes = 256;
/// The sum of shares may be slightly above 1 by rounding, as for ten times 0.1.
constexpr double kShareTolerance = 1e-9;

Organisation ReadOrganisation(ObjectReader& reader) {
  Organisation organisation;
  reader.RequireKeys({"key"});
  reader.ReadSecretKey("key", organisation.key);
  reader.ReadDouble("weight", organisation.weight, 0.001, 1000);
  reader.ReadInteger("max_concurrent_calls", organisation.max_concurrent_calls, 1, kMaxCount);
  reader.ReadDouble("calls_per_second", organisation.calls_per_second, 0.001, kMaxCount);
  reader.ReadInteger("max_programs", organisation.max_programs, 1, kMaxCount);
  return organisation;
}

PriorityClass ReadPriorityClass(ObjectReader& reader) {
  PriorityClass priority_class;
  reader.RequireKeys({"rank"});
  reader.ReadInteger("rank", priority_class.rank, 0, 1000);
  reader.ReadMilliseconds("first_token_target_ms", priority_class.first_token_target, 1, kDayMs);
  reader.ReadDouble("minimum_share", priority_class.minimum_share, 0, 1);
  reader.ReadMilliseconds("call_deadline_ms", priority_class.call_deadline, 100, kDayMs);
  return priority_class;
}

Limits ReadLimits(ObjectReader& reader) {
  Limits limits;
  reader.ReadTokenCount("program_budget_tokens", limits.program_budget, 1, kMaxTokens);
  reader.ReadInteger("program_max_calls", limits.program_max_calls, 1, kMaxCount);
  reader.ReadTokenCount("max_output_tokens", limits.max_output, 1, kMaxTokens);
  reader.ReadInteger("queued_calls_per_program", limits.queued_calls_per_program, 1, 10'000);
  reader.ReadInteger("max_message_bytes", limits.max_message_bytes, 1, std::uint64_t{1} << 20);
  return limits;
}

void ReadModels(ObjectReader& reader, std::vector<ModelId>& models) {
  const auto items = reader.ReadStringArray("models");
  if (!items) {
    return;
  }
  for (const auto& [name, node] : *items) {
    if (!IsIdentifier(name)) {
      reader.ReportError("models", DiagnosticCode::kInvalidValue,
                         "'" + name + "' is not a model name");
    }
    if (std::find(models.begin(), models.end(), ModelId(name)) != models.end()) {
      reader.ReportError("models", DiagnosticCode::kConflict, "'" + name + "' is listed twice");
    }
    models.emplace_back(name);
  }
  if (models.empty()) {
    reader.ReportError("models", DiagnosticCode::kOutOfRange, "must not be empty");
  }
}

Endpoint ReadEndpoint(ObjectReader& reader) {
  Endpoint endpoint;
  reader.RequireKeys({"address", "zone", "kind", "models"});
  reader.ReadAddress("address", endpoint.address);
  reader.ReadIdentifier("zone", endpoint.zone);
  reader.ReadEnum("kind", endpoint.kind, {{"engine", EndpointKind::kEngine}});
  ReadModels(reader, endpoint.models);
  reader.ReadInteger("concurrency", endpoint.concurrency, 1, 100'000);
  reader.ReadBool("checks_fencing", endpoint.checks_fencing);
  reader.ReadBool("can_resume", endpoint.can_resume);
  reader.ReadEnum("state", endpoint.state,
                  {{"active", EndpointState::kActive}, {"leaving", EndpointState::kLeaving}});
  reader.ReadDouble("prefill_tokens_per_second", endpoint.prefill_tokens_per_second, 1, 1e9);
  reader.ReadDouble("decode_tokens_per_second", endpoint.decode_tokens_per_second, 0.1, 1e6);
  reader.ReadTokenCount("kv_capacity_tokens", endpoint.kv_capacity, 1, kMaxTokens);
  return endpoint;
}

Service ReadService(ObjectReader& reader) {
  Service service;
  reader.RequireKeys({"address", "operation", "idempotent"});
  reader.ReadAddress("address", service.address);
  reader.ReadString("operation", service.operation, 1, kMaxOperationBytes);
  if (!service.operation.empty() && !IsIdentifier(service.operation)) {
    reader.ReportError("operation", DiagnosticCode::kInvalidValue,
                       "must be 1 to 128 characters from A-Z a-z 0-9 . _ : / -");
  }
  reader.ReadBool("idempotent", service.idempotent);
  reader.ReadMilliseconds("timeout_ms", service.timeout, 10, kDayMs);
  reader.ReadInteger("concurrency", service.concurrency, 1, 100'000);
  return service;
}

Policy ReadPolicy(ObjectReader& reader) {
  Policy policy;
  reader.ReadDouble("retry_ratio", policy.retry_ratio, 0, 1);
  reader.ReadMilliseconds("hold_pause_ms", policy.hold_pause, 0, kDayMs);
  reader.ReadBool("preempt", policy.preempt);
  return policy;
}

/// Reads a section that maps names to objects of one type.
template <class Id, class Value>
void ReadSection(ObjectReader& root,
                 const std::string& section,
                 std::map<Id, Value>& target,
                 Value (*read)(ObjectReader&),
                 std::vector<Diagnostic>& diagnostics) {
  root.ForEachMember(section, [&](const std::string& name, const SourceNode& node) {
    ObjectReader reader(&node, section + "." + name, diagnostics);
    target.emplace(Id(name), read(reader));
    reader.ReportUnknownKeys();
  });
}

template <class Value>
Value ReadObject(ObjectReader& root,
                 const std::string& key,
                 Value (*read)(ObjectReader&),
                 std::vector<Diagnostic>& diagnostics) {
  ObjectReader reader(root.FindObject(key), key, diagnostics);
  Value value = read(reader);
  reader.ReportUnknownKeys();
  return value;
}

/// Records a diagnostic for each member of a section that repeats a value that must be unique.
class UniquenessChecker {
 public:
  UniquenessChecker(const SourceNode& root,
                    std::string section,
                    std::vector<Diagnostic>& diagnostics)
      : root_(root), section_(std::move(section)), diagnostics_(diagnostics) {}

  void AddValue(const std::string& name, const std::string& key, const std::string& value) {
    const auto [existing, added] = names_by_value_.emplace(value, name);
    if (!added) {
      ReportConflict(name, key, "has the same value as in " + existing->second);
    }
  }

  void ReportConflict(const std::string& name, const std::string& key, std::string detail) {
    const SourceNode* node = &root_.members.at(section_).members.at(name);
    if (const auto member = node->members.find(key); member != node->members.end()) {
      node = &member->second;
    }
    diagnostics_.push_back({*node->file, node->line, section_ + "." + name + "." + key,
                            DiagnosticCode::kConflict, std::move(detail)});
  }

 private:
  const SourceNode& root_;
  std::string section_;
  std::vector<Diagnostic>& diagnostics_;
  std::map<std::string, std::string> names_by_value_;
};

void CheckConsistency(const Document& document,
                      const SourceNode& root,
                      std::vector<Diagnostic>& diagnostics) {
  UniquenessChecker keys(root, "organisations", diagnostics);
  for (const auto& [id, organisation] : document.organisations) {
    // A key must be unique because it alone identifies the organisation of a caller.
    if (!organisation.key.empty()) {
      keys.AddValue(id.value(), "key", organisation.key);
    }
  }
  UniquenessChecker ranks(root, "priority_classes", diagnostics);
  double share_sum = 0;
  bool exceeded = false;
  for (const auto& [id, priority_class] : document.priority_classes) {
    ranks.AddValue(id.value(), "rank", std::to_string(priority_class.rank));
    share_sum += priority_class.minimum_share;
    if (share_sum > 1 + kShareTolerance && !exceeded) {
      exceeded = true;
      ranks.ReportConflict(id.value(), "minimum_share",
                           "the minimum shares of all classes add up to more than 1");
    }
  }
  UniquenessChecker addresses(root, "endpoints", diagnostics);
  for (const auto& [id, endpoint] : document.endpoints) {
    if (endpoint.address.port != 0) {
      addresses.AddValue(id.value(), "address", endpoint.address.ToString());
    }
  }
}

Document ReadDocument(const SourceNode& root) {
  std::vector<Diagnostic> diagnostics;
  Document document;
  ObjectReader reader(&root, "", diagnostics);
  ReadSection(reader, "organisations", document.organisations, ReadOrganisation, diagnostics);
  ReadSection(reader, "priority_classes", document.priority_classes, ReadPriorityClass,
              diagnostics);
  document.limits = ReadObject(reader, "limits", ReadLimits, diagnostics);
  ReadSection(reader, "endpoints", document.endpoints, ReadEndpoint, diagnostics);
  ReadSection(reader, "services", document.services, ReadService, diagnostics);
  document.policy = ReadObject(reader, "policy", ReadPolicy, diagnostics);
  reader.ReportUnknownKeys();
  CheckConsistency(document, root, diagnostics);
  if (!diagnostics.empty()) {
    throw ConfigError(std::move(diagnostics));
  }
  return document;
}

std::vector<std::string> ListJsonFiles(const std::string& path) {
  std::vector<std::string> files;
  std::error_code error;
  for (auto entry = std::filesystem::directory_iterator(path, error);
       !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
    if (entry->path().extension() == ".json") {
      files.push_back(entry->path().string());
    }
  }
  if (error) {
    throw ConfigError({Diagnostic{path, 0, "", DiagnosticCode::kUnreadable, error.message()}});
  }
  std::sort(files.begin(), files.end());
  return files;
}

}  // namespace

Document ParseDocument(std::string_view text, const std::string& file_name) {
  SourceNode root;
  MergePatch(root, ParseSourceNode(text, file_name));
  return ReadDocument(root);
}

Document LoadDocument(const std::string& path) {
  const std::vector<std::string> files = ListJsonFiles(path);
  if (files.empty()) {
    throw ConfigError(
        {Diagnostic{path, 0, "", DiagnosticCode::kUnreadable, "contains no *.json file"}});
  }
  SourceNode root;
  std::vector<Diagnostic> diagnostics;
  std::size_t bytes = 0;
  for (const std::string& file : files) {
    try {
      const std::string text = ReadFile(file);
      bytes += text.size();
      MergePatch(root, ParseSourceNode(text, file));
    } catch (const ConfigError& error) {
      diagnostics.insert(diagnostics.end(), error.diagnostics().begin(), error.diagnostics().end());
    }
  }
  if (bytes > kMaxConfigBytes) {
    diagnostics.push_back({path, 0, "", DiagnosticCode::kTooLarge,
                           "the total size of the *.json files exceeds the limit"});
  }
  if (!diagnostics.empty()) {
    throw ConfigError(std::move(diagnostics));
  }
  return ReadDocument(root);
}

}  // namespace acaciaspring::config
