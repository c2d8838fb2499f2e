#include "acaciaspring/config.h"

namespace acaciaspring::config {

namespace {

std::string Describe(const std::vector<Diagnostic>& diagnostics) {
  std::string text;
  for (const Diagnostic& diagnostic : diagnostics) {
    text += text.empty() ? "" : "\n";
    text += diagnostic.file;
    if (diagnostic.line != 0) {
      text += ":" + std::to_string(diagnostic.line);
    }
    text += ": ";
    text += diagnostic.key_path.empty() ? "" : diagnostic.key_path + ": ";
    text += diagnostic.detail + " [" + std::string(ToString(diagnostic.code)) + "]";
  }
  return text;
}

}  // namespace

std::string_view ToString(DiagnosticCode code) {
  switch (code) {
    case DiagnosticCode::kUnreadable:
      return "unreadable";
    case DiagnosticCode::kTooLarge:
      return "too_large";
    case DiagnosticCode::kTooDeep:
      return "too_deep";
    case DiagnosticCode::kSyntax:
      return "syntax";
    case DiagnosticCode::kDuplicateKey:
      return "duplicate_key";
    case DiagnosticCode::kUnknownKey:
      return "unknown_key";
    case DiagnosticCode::kMissingKey:
      return "missing_key";
    case DiagnosticCode::kWrongType:
      return "wrong_type";
    case DiagnosticCode::kOutOfRange:
      return "out_of_range";
    case DiagnosticCode::kInvalidValue:
      return "invalid_value";
    case DiagnosticCode::kBadReference:
      return "bad_reference";
    case DiagnosticCode::kConflict:
      return "conflict";
  }
  return "invalid_code";
}

ConfigError::ConfigError(std::vector<Diagnostic> diagnostics)
    : Error(Describe(diagnostics)), diagnostics_(std::move(diagnostics)) {}

std::string SocketAddress::ToString() const {
  return ip + ":" + std::to_string(port);
}

}  // namespace acaciaspring::config
