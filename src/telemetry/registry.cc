#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <map>

#include "acaciaspring/telemetry.h"

namespace acaciaspring::telemetry {

namespace {

using Metric =
    std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<Distribution>>;

struct Family {
  std::string help;
  /// Index of the metric type in the variant Metric.
  std::size_t type_index = 0;
  std::map<Labels, Metric> metrics;
};

bool IsValidName(std::string_view text, bool colon_allowed) {
  const auto is_allowed = [&](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' ||
           (colon_allowed && c == ':');
  };
  return !text.empty() && std::isdigit(static_cast<unsigned char>(text.front())) == 0 &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

void CheckLabels(const Labels& labels, bool is_summary) {
  for (const auto& [name, value] : labels) {
    // Prometheus reserves names that start with "__", and the label "quantile" in summaries.
    if (!IsValidName(name, false) || name.starts_with("__") || (is_summary && name == "quantile")) {
      throw MetricError("invalid or reserved label name: " + name);
    }
  }
}

std::string Escape(std::string_view text, bool escape_quotes) {
  std::string out;
  for (const char c : text) {
    if (c == '\\') {
      out += "\\\\";
    } else if (c == '\n') {
      out += "\\n";
    } else if (c == '"' && escape_quotes) {
      out += "\\\"";
    } else {
      out += c;
    }
  }
  return out;
}

std::string FormatLabels(const Labels& labels) {
  std::string out;
  for (const auto& [name, value] : labels) {
    out += out.empty() ? "{" : ",";
    out += name + "=\"" + Escape(value, true) + "\"";
  }
  return out.empty() ? out : out + "}";
}

std::string FormatNumber(double value) {
  if (!std::isfinite(value)) {
    return std::isnan(value) ? "NaN" : value > 0 ? "+Inf" : "-Inf";
  }
  // Shortest representation that parses to the same value; independent of the locale.
  std::array<char, 32> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
  return {text.data(), end};
}

void AppendSummary(const std::string& name,
                   const Labels& labels,
                   const Distribution& distribution,
                   std::string& out) {
  constexpr std::array<std::pair<Quantile, const char*>, 3> kQuantiles = {
      {{Quantile::kP50, "0.5"}, {Quantile::kP95, "0.95"}, {Quantile::kP99, "0.99"}}};
  for (const auto& [quantile, text] : kQuantiles) {
    Labels with_quantile = labels;
    with_quantile["quantile"] = text;
    out += name + FormatLabels(with_quantile) + " " + FormatNumber(distribution.Value(quantile)) +
           "\n";
  }
  const std::string labels_text = FormatLabels(labels) + " ";
  out += name + "_sum" + labels_text + FormatNumber(distribution.sum()) + "\n";
  out += name + "_count" + labels_text + std::to_string(distribution.count()) + "\n";
}

void AppendMetric(const std::string& name,
                  const Labels& labels,
                  const Metric& metric,
                  std::string& out) {
  const std::string sample_prefix = name + FormatLabels(labels) + " ";
  std::visit(Overloaded{
                 [&](const std::unique_ptr<Counter>& counter) {
                   out += sample_prefix + std::to_string(counter->value()) + "\n";
                 },
                 [&](const std::unique_ptr<Gauge>& gauge) {
                   out += sample_prefix + FormatNumber(gauge->value()) + "\n";
                 },
                 [&](const std::unique_ptr<Distribution>& distribution) {
                   AppendSummary(name, labels, *distribution, out);
                 },
             },
             metric);
}

}  // namespace

struct Registry::Impl {
  std::map<std::string, Family> families;

  template <class MetricType>
  MetricType& GetOrCreate(const std::string& name, std::string_view help, const Labels& labels) {
    const Metric empty = std::unique_ptr<MetricType>();
    if (!IsValidName(name, true)) {
      throw MetricError("invalid metric name: " + name);
    }
    CheckLabels(labels, std::is_same_v<MetricType, Distribution>);
    const auto [found, inserted] = families.try_emplace(name);
    Family& family = found->second;
    if (inserted) {
      family.help = help;
      family.type_index = empty.index();
    } else if (family.type_index != empty.index()) {
      throw MetricError("metric is already registered with another type: " + name);
    }
    auto metric = family.metrics.find(labels);
    if (metric == family.metrics.end()) {
      metric = family.metrics.emplace(labels, std::make_unique<MetricType>()).first;
    }
    return *std::get<std::unique_ptr<MetricType>>(metric->second);
  }
};

Registry::Registry() : impl_(std::make_unique<Impl>()) {}
Registry::~Registry() = default;

Counter& Registry::GetCounter(const std::string& name,
                              std::string_view help,
                              const Labels& labels) {
  return impl_->GetOrCreate<Counter>(name, help, labels);
}

Gauge& Registry::GetGauge(const std::string& name, std::string_view help, const Labels& labels) {
  return impl_->GetOrCreate<Gauge>(name, help, labels);
}

Distribution& Registry::GetDistribution(const std::string& name,
                                        std::string_view help,
                                        const Labels& labels) {
  return impl_->GetOrCreate<Distribution>(name, help, labels);
}

std::string Registry::Text() const {
  constexpr std::array<const char*, 3> kTypes = {"counter", "gauge", "summary"};
  std::string out;
  for (const auto& [name, family] : impl_->families) {
    out += "# HELP " + name + " " + Escape(family.help, false) + "\n";
    out += "# TYPE " + name + " " + kTypes.at(family.type_index) + "\n";
    for (const auto& [labels, metric] : family.metrics) {
      AppendMetric(name, labels, metric, out);
    }
  }
  return out;
}

}  // namespace acaciaspring::telemetry
