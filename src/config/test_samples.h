#ifndef ACACIASPRING_SRC_CONFIG_TEST_SAMPLES_H_
#define ACACIASPRING_SRC_CONFIG_TEST_SAMPLES_H_

#include <algorithm>
#include <string>
#include <vector>

#include "acaciaspring/config.h"

namespace acaciaspring::config {

inline constexpr const char* kSampleSettings = R"({
  // One daemon of the test deployment.
  "daemon": "d1", "zone": "fukuoka", "region": "kyushu", "vm": "vm-1",
  "http": "127.0.0.1:8001",
  "peer": "127.0.0.1:8101",
  "seeds": ["127.0.0.1:8101", "127.0.0.1:8102"],
  "log": "127.0.0.1:9100",
  "vm_list": "127.0.0.1:9101",
  "cluster_key": "0123456789abcdef",
  "operator_key": "fedcba9876543210",
  "trace": {"collector": "127.0.0.1:4318"},
  "entries_ttl_ms": 1500,
  "log_appends_per_second": 50.5,
  "suspect_after_ms": 800
})";

inline constexpr const char* kSampleDocument = R"({
  "organisations": {
    "rice-desk": {"key": "rice-desk-key-0001", "weight": 2, "max_concurrent_calls": 10,
                  "calls_per_second": 5, "max_programs": 100},
    "saddlefit": {"key": "saddlefit-key-0001"}
  },
  "priority_classes": {
    "urgent": {"rank": 0, "first_token_target_ms": 600, "minimum_share": 0.5,
               "call_deadline_ms": 30000},
    "batch": {"rank": 2, "minimum_share": 0.25}
  },
  "limits": {"program_budget_tokens": 290000, "program_max_calls": 530},
  "endpoints": {
    "gpu-1": {"address": "127.0.0.1:9001", "zone": "fukuoka", "kind": "engine",
              "models": ["small", "large"], "concurrency": 8, "checks_fencing": true},
    "gpu-2": {"address": "127.0.0.1:9002", "zone": "kumamoto", "kind": "engine",
              "models": ["small"], "state": "leaving"}
  },
  "services": {
    "parts-order": {"address": "127.0.0.1:9201", "operation": "order", "idempotent": false,
                    "timeout_ms": 2000}
  },
  "policy": {"retry_ratio": 0.2, "preempt": false}
})";

/// @brief Replaces the first occurrence of `from`, which the text must contain.
inline std::string ReplaceFirst(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

/// @brief Diagnostics of a parser call, each as "line key_path code", sorted and joined by "; ".
template <class Parse>
std::string DiagnosticsOf(Parse parse) {
  std::vector<std::string> entries;
  try {
    parse();
  } catch (const ConfigError& error) {
    for (const Diagnostic& diagnostic : error.diagnostics()) {
      entries.push_back(std::to_string(diagnostic.line) + " " + diagnostic.key_path + " " +
                        std::string(ToString(diagnostic.code)));
    }
  }
  std::sort(entries.begin(), entries.end());
  std::string joined;
  for (const std::string& entry : entries) {
    joined += (joined.empty() ? "" : "; ") + entry;
  }
  return joined;
}

}  // namespace acaciaspring::config

#endif  // ACACIASPRING_SRC_CONFIG_TEST_SAMPLES_H_
