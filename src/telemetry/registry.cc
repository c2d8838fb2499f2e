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
  /// Index of the alternative of Metric.
  std::size_t kind = 0;
  std::map<Labels, Metric> metrics;
};

bool IsName(std::string_view text, bool colon_allowed) {
  const auto fits = [&](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' ||
           (colon_allowed && c == ':');
  };
  return !text.empty() && std::isdigit(static_cast<unsigned char>(text.front())) == 0 &&
         std::all_of(text.begin(), text.end(), fits);
}

void CheckLabels(const Labels& labels, bool summary) {
  for (const auto& [name, value] : labels) {
    // "quantile" is the label that a summary itself writes; names with "__" are reserved.
    if (!IsName(name, false) || name.starts_with("__") || (summary && name == "quantile")) {
      throw MetricError("label name is not allowed: " + name);
    }
  }
}

std::string Escape(std::string_view text, bool quotes) {
  std::string out;
  for (const char c : text) {
    if (c == '\\') {
      out += "\\\\";
    } else if (c == '\n') {
      out += "\\n";
    } else if (c == '"' && quotes) {
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
  // The shortest text that reads back as the same number, independent of the locale.
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
  const std::string suffix = FormatLabels(labels) + " ";
  out += name + "_sum" + suffix + FormatNumber(distribution.sum()) + "\n";
  out += name + "_count" + suffix + std::to_string(distribution.count()) + "\n";
}

void AppendMetric(const std::string& name,
                  const Labels& labels,
                  const Metric& metric,
                  std::string& out) {
  const std::string start = name + FormatLabels(labels) + " ";
  std::visit(Overloaded{
                 [&](const std::unique_ptr<Counter>& counter) {
                   out += start + std::to_string(counter->value()) + "\n";
                 },
                 [&](const std::unique_ptr<Gauge>& gauge) {
                   out += start + FormatNumber(gauge->value()) + "\n";
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

  template <class Kind>
  Kind& Get(const std::string& name, std::string_view help, const Labels& labels) {
    const Metric empty = std::unique_ptr<Kind>();
    if (!IsName(name, true)) {
      throw MetricError("metric name is not allowed: " + name);
    }
    CheckLabels(labels, std::is_same_v<Kind, Distribution>);
    const auto [found, added] = families.try_emplace(name);
    Family& family = found->second;
    if (added) {
      family.help = help;
      family.kind = empty.index();
    } else if (family.kind != empty.index()) {
      throw MetricError("metric is used as two kinds: " + name);
    }
    auto metric = family.metrics.find(labels);
    if (metric == family.metrics.end()) {
      metric = family.metrics.emplace(labels, std::make_unique<Kind>()).first;
    }
    return *std::get<std::unique_ptr<Kind>>(metric->second);
  }
};

Registry::Registry() : impl_(std::make_unique<Impl>()) {}
Registry::~Registry() = default;

Counter& Registry::GetCounter(const std::string& name,
                              std::string_view help,
                              const Labels& labels) {
  return impl_->Get<Counter>(name, help, labels);
}

Gauge& Registry::GetGauge(const std::string& name, std::string_view help, const Labels& labels) {
  return impl_->Get<Gauge>(name, help, labels);
}

Distribution& Registry::GetDistribution(const std::string& name,
                                        std::string_view help,
                                        const Labels& labels) {
  return impl_->Get<Distribution>(name, help, labels);
}

std::string Registry::Text() const {
  constexpr std::array<const char*, 3> kTypes = {"counter", "gauge", "summary"};
  std::string out;
  for (const auto& [name, family] : impl_->families) {
    out += "# HELP " + name + " " + Escape(family.help, false) + "\n";
    out += "# TYPE " + name + " " + kTypes.at(family.kind) + "\n";
    for (const auto& [labels, metric] : family.metrics) {
      AppendMetric(name, labels, metric, out);
    }
  }
  return out;
}

}  // namespace acaciaspring::telemetry
