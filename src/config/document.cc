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
/// Sums of decimal shares such as ten times 0.1 may be slightly above 1.
constexpr double kShareTolerance = 1e-9;

Organisation ReadOrganisation(ObjectReader& reader) {
  Organisation organisation;
  reader.Require({"key"});
  reader.SecretKey("key", organisation.key);
  reader.Real("weight", organisation.weight, 0.001, 1000);
  reader.Whole("max_concurrent_calls", organisation.max_concurrent_calls, 1, kMaxCount);
  reader.Real("calls_per_second", organisation.calls_per_second, 0.001, kMaxCount);
  reader.Whole("max_programs", organisation.max_programs, 1, kMaxCount);
  return organisation;
}

PriorityClass ReadPriorityClass(ObjectReader& reader) {
  PriorityClass priority_class;
  reader.Require({"rank"});
  reader.Whole("rank", priority_class.rank, 0, 1000);
  reader.Milliseconds("first_token_target_ms", priority_class.first_token_target, 1, kDayMs);
  reader.Real("minimum_share", priority_class.minimum_share, 0, 1);
  reader.Milliseconds("call_deadline_ms", priority_class.call_deadline, 100, kDayMs);
  return priority_class;
}

Limits ReadLimits(ObjectReader& reader) {
  Limits limits;
  reader.Tokens("program_budget_tokens", limits.program_budget, 1, kMaxTokens);
  reader.Whole("program_max_calls", limits.program_max_calls, 1, kMaxCount);
  reader.Tokens("max_output_tokens", limits.max_output, 1, kMaxTokens);
  reader.Whole("queued_calls_per_program", limits.queued_calls_per_program, 1, 10'000);
  reader.Whole("max_message_bytes", limits.max_message_bytes, 1, std::uint64_t{1} << 20);
  return limits;
}

void ReadModels(ObjectReader& reader, std::vector<ModelId>& models) {
  const auto items = reader.TextItems("models");
  if (!items) {
    return;
  }
  for (const auto& [name, node] : *items) {
    if (!IsIdentifier(name)) {
      reader.AddAt("models", DiagnosticCode::kInvalidValue, "'" + name + "' is not a model name");
    }
    if (std::find(models.begin(), models.end(), ModelId(name)) != models.end()) {
      reader.AddAt("models", DiagnosticCode::kConflict, "'" + name + "' is listed twice");
    }
    models.emplace_back(name);
  }
  if (models.empty()) {
    reader.AddAt("models", DiagnosticCode::kOutOfRange, "must not be empty");
  }
}

Endpoint ReadEndpoint(ObjectReader& reader) {
  Endpoint endpoint;
  reader.Require({"address", "zone", "kind", "models"});
  reader.Address("address", endpoint.address);
  reader.Identifier("zone", endpoint.zone);
  reader.Choice("kind", endpoint.kind, {{"engine", EndpointKind::kEngine}});
  ReadModels(reader, endpoint.models);
  reader.Whole("concurrency", endpoint.concurrency, 1, 100'000);
  reader.Flag("checks_fencing", endpoint.checks_fencing);
  reader.Flag("can_resume", endpoint.can_resume);
  reader.Choice("state", endpoint.state,
                {{"active", EndpointState::kActive}, {"leaving", EndpointState::kLeaving}});
  reader.Real("prefill_tokens_per_second", endpoint.prefill_tokens_per_second, 1, 1e9);
  reader.Real("decode_tokens_per_second", endpoint.decode_tokens_per_second, 0.1, 1e6);
  reader.Tokens("kv_capacity_tokens", endpoint.kv_capacity, 1, kMaxTokens);
  return endpoint;
}

Service ReadService(ObjectReader& reader) {
  Service service;
  reader.Require({"address", "operation", "idempotent"});
  reader.Address("address", service.address);
  reader.Text("operation", service.operation, 1, kMaxOperationBytes);
  if (!service.operation.empty() && !IsIdentifier(service.operation)) {
    reader.AddAt("operation", DiagnosticCode::kInvalidValue, "must be a path of plain characters");
  }
  reader.Flag("idempotent", service.idempotent);
  reader.Milliseconds("timeout_ms", service.timeout, 10, kDayMs);
  reader.Whole("concurrency", service.concurrency, 1, 100'000);
  return service;
}

Policy ReadPolicy(ObjectReader& reader) {
  Policy policy;
  reader.Real("retry_ratio", policy.retry_ratio, 0, 1);
  reader.Milliseconds("hold_pause_ms", policy.hold_pause, 0, kDayMs);
  reader.Flag("preempt", policy.preempt);
  return policy;
}

/// Parses one section whose members all have the same form.
template <class Id, class Value>
void ReadSection(ObjectReader& root,
                 const std::string& section,
                 std::map<Id, Value>& target,
                 Value (*read)(ObjectReader&),
                 std::vector<Diagnostic>& diagnostics) {
  root.ForEach(section, [&](const std::string& name, const SourceNode& node) {
    ObjectReader reader(&node, section + "." + name, diagnostics);
    target.emplace(Id(name), read(reader));
    reader.Finish();
  });
}

template <class Value>
Value ReadGroup(ObjectReader& root,
                const std::string& group,
                Value (*read)(ObjectReader&),
                std::vector<Diagnostic>& diagnostics) {
  ObjectReader reader(root.Object(group), group, diagnostics);
  Value value = read(reader);
  reader.Finish();
  return value;
}

/// Notes members of a section that share what must be unique.
class UniqueCheck {
 public:
  UniqueCheck(const SourceNode& root, std::string section, std::vector<Diagnostic>& diagnostics)
      : root_(root), section_(std::move(section)), diagnostics_(diagnostics) {}

  void Add(const std::string& name, const std::string& key, const std::string& value) {
    const auto [first, added] = first_.emplace(value, name);
    if (!added) {
      Report(name, key, "is the same as that of " + first->second);
    }
  }

  void Report(const std::string& name, const std::string& key, std::string detail) {
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
  std::map<std::string, std::string> first_;
};

void CheckRelations(const Document& document,
                    const SourceNode& root,
                    std::vector<Diagnostic>& diagnostics) {
  UniqueCheck keys(root, "organisations", diagnostics);
  for (const auto& [id, organisation] : document.organisations) {
    // A caller is known by its key alone.
    if (!organisation.key.empty()) {
      keys.Add(id.value(), "key", organisation.key);
    }
  }
  UniqueCheck ranks(root, "priority_classes", diagnostics);
  double shares = 0;
  bool over = false;
  for (const auto& [id, priority_class] : document.priority_classes) {
    ranks.Add(id.value(), "rank", std::to_string(priority_class.rank));
    shares += priority_class.minimum_share;
    if (shares > 1 + kShareTolerance && !over) {
      over = true;
      ranks.Report(id.value(), "minimum_share", "the shares of all classes sum up to more than 1");
    }
  }
  UniqueCheck addresses(root, "endpoints", diagnostics);
  for (const auto& [id, endpoint] : document.endpoints) {
    if (endpoint.address.port != 0) {
      addresses.Add(id.value(), "address", endpoint.address.ToString());
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
  document.limits = ReadGroup(reader, "limits", ReadLimits, diagnostics);
  ReadSection(reader, "endpoints", document.endpoints, ReadEndpoint, diagnostics);
  ReadSection(reader, "services", document.services, ReadService, diagnostics);
  document.policy = ReadGroup(reader, "policy", ReadPolicy, diagnostics);
  reader.Finish();
  CheckRelations(document, root, diagnostics);
  if (!diagnostics.empty()) {
    throw ConfigError(std::move(diagnostics));
  }
  return document;
}

std::vector<std::string> JsonFilesOf(const std::string& path) {
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
  MergePatch(root, ParseSource(text, file_name));
  return ReadDocument(root);
}

Document LoadDocument(const std::string& path) {
  const std::vector<std::string> files = JsonFilesOf(path);
  if (files.empty()) {
    throw ConfigError({Diagnostic{path, 0, "", DiagnosticCode::kUnreadable, "has no *.json file"}});
  }
  SourceNode root;
  std::vector<Diagnostic> diagnostics;
  std::size_t bytes = 0;
  for (const std::string& file : files) {
    try {
      const std::string text = ReadFile(file);
      bytes += text.size();
      MergePatch(root, ParseSource(text, file));
    } catch (const ConfigError& error) {
      diagnostics.insert(diagnostics.end(), error.diagnostics().begin(), error.diagnostics().end());
    }
  }
  if (bytes > kMaxTextBytes) {
    diagnostics.push_back({path, 0, "", DiagnosticCode::kTooLarge, "the files are too large"});
  }
  if (!diagnostics.empty()) {
    throw ConfigError(std::move(diagnostics));
  }
  return ReadDocument(root);
}

}  // namespace acaciaspring::config
