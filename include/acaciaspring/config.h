#ifndef ACACIASPRING_CONFIG_H_
#define ACACIASPRING_CONFIG_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciaspring/base.h"

namespace acaciaspring::config {

enum class DiagnosticCode : std::uint8_t {
  kUnreadable,
  kTooLarge,
  kTooDeep,
  kSyntax,
  kDuplicateKey,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  kInvalidValue,
  kBadReference,
  kConflict,
};
std::string_view ToString(DiagnosticCode code);

/// @brief One error in a configuration; `line` counts from 1 and is 0 if the error has no position
/// in a file.
struct Diagnostic {
  std::string file;
  std::size_t line = 0;
  /// Keys joined by dots, such as "endpoints.gpu-1.address"; empty for the whole document.
  std::string key_path;
  DiagnosticCode code{};
  std::string detail;
};

/// @brief Contains all errors found in a configuration; what() lists them, one per line.
class ConfigError : public Error {
 public:
  explicit ConfigError(std::vector<Diagnostic> diagnostics);
  const std::vector<Diagnostic>& diagnostics() const { return diagnostics_; }

 private:
  std::vector<Diagnostic> diagnostics_;
};

/// @brief IPv4 address and port.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;
  auto operator<=>(const SocketAddress&) const = default;
  std::string ToString() const;
};

struct TraceFile {
  std::string path;
};
struct TraceCollector {
  SocketAddress address;
};
/// @brief Where traces are written; monostate disables tracing.
using TraceTarget = std::variant<std::monostate, TraceFile, TraceCollector>;

/// @brief Settings of one daemon, read at its start.
struct Settings {
  DaemonId daemon;
  AvailabilityZone zone;
  std::string region;
  VmId vm;
  SocketAddress http;
  /// Address for connections (TCP) and datagrams (UDP) from other daemons.
  SocketAddress peer;
  std::vector<SocketAddress> seeds;
  SocketAddress log;
  std::optional<SocketAddress> vm_list;
  /// 16 to 256 bytes each.
  std::string cluster_key;
  std::string operator_key;
  TraceTarget trace;
  Duration entries_ttl = std::chrono::seconds(2);
  Duration log_unavailable_after = std::chrono::seconds(2);
  double log_appends_per_second = 100;
  Duration retention = std::chrono::hours(24 * 7);
  Duration probe_period = std::chrono::milliseconds(200);
  Duration suspect_after = std::chrono::seconds(1);
  Duration call_deadline = std::chrono::minutes(2);
};

struct Organisation {
  /// Bearer token of the organisation's callers; 16 to 256 bytes.
  std::string key;
  double weight = 1;
  std::uint32_t max_concurrent_calls = 100;
  double calls_per_second = 100;
  std::uint32_t max_programs = 10'000;
};

struct PriorityClass {
  /// 0 is the most urgent.
  std::uint32_t rank = 0;
  Duration first_token_target = std::chrono::milliseconds(1200);
  /// Share of the service, from 0 to 1, that the class is guaranteed under overload by other
  /// classes.
  double minimum_share = 0;
  Duration call_deadline = std::chrono::minutes(2);
};

struct Limits {
  TokenCount program_budget{10'000'000};
  std::uint32_t program_max_calls = 1000;
  TokenCount max_output{4096};
  std::uint32_t queued_calls_per_program = 8;
  std::size_t max_message_bytes = std::size_t{256} << 10;
};

enum class EndpointKind : std::uint8_t { kEngine };
enum class EndpointState : std::uint8_t { kActive, kLeaving };

struct Endpoint {
  SocketAddress address;
  AvailabilityZone zone;
  EndpointKind kind{};
  std::vector<ModelId> models;
  std::uint32_t concurrency = 16;
  /// Whether the engine rejects orders with an outdated fencing token.
  bool checks_fencing = false;
  /// Whether the engine can resume a paused stream.
  bool can_resume = false;
  EndpointState state{};
  double prefill_tokens_per_second = 10'000;
  double decode_tokens_per_second = 50;
  TokenCount kv_capacity{1'000'000};
};

struct Service {
  SocketAddress address;
  std::string operation;
  bool idempotent = false;
  Duration timeout = std::chrono::seconds(10);
  std::uint32_t concurrency = 16;
};

struct Policy {
  /// Maximum ratio of retries to first attempts.
  double retry_ratio = 0.1;
  /// Longest pause for tool calls during which an engine keeps the KV cache of a program.
  Duration hold_pause = std::chrono::seconds(10);
  bool preempt = true;
};

/// @brief The operators' configuration, the same on all daemons.
struct Document {
  std::map<OrganisationId, Organisation> organisations;
  std::map<PriorityClassId, PriorityClass> priority_classes;
  Limits limits;
  std::map<EndpointId, Endpoint> endpoints;
  std::map<ServiceId, Service> services;
  Policy policy;
};

/// @brief Maximum size of a configuration text, and of all files of a directory together.
inline constexpr std::size_t kMaxConfigBytes = std::size_t{4} << 20;
/// @brief Maximum nesting depth of a configuration text.
inline constexpr std::size_t kMaxNestingDepth = 16;

/// @brief Parses settings given as JSON with comments. `file_name` appears in diagnostics. Throws
/// ConfigError.
Settings ParseSettings(std::string_view text, const std::string& file_name);
/// @brief Reads and parses a settings file. Throws ConfigError.
Settings LoadSettings(const std::string& path);

/// @brief Parses a document given as JSON with comments. Throws ConfigError.
Document ParseDocument(std::string_view text, const std::string& file_name = "document");
/// @brief Merges the *.json files of a directory in the order of their names, as JSON Merge Patches
/// (RFC 7396: null deletes), and parses the result. Throws ConfigError.
Document LoadDocument(const std::string& path);

/// @brief Returns JSON with sorted keys, all default values written out and no comments.
/// ParseDocument accepts it.
std::string CanonicalText(const Document& document);

/// @brief One changed value; both values are JSON texts, empty if the value is absent.
struct Change {
  std::string key_path;
  std::string old_value;
  std::string new_value;
  bool operator==(const Change&) const = default;
};
/// @brief Returns the changed leaf values in the order of their key paths. Keys of organisations
/// are redacted as "***".
std::vector<Change> Diff(const Document& old_document, const Document& new_document);

}  // namespace acaciaspring::config

#endif  // ACACIASPRING_CONFIG_H_
