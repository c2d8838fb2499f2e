#include "src/load/program_plan.h"

#include <vector>

#include "acaciaspring/base.h"

namespace acaciaspring::load {

ProgramPlan::ProgramPlan(const LoadOptions& options, std::uint64_t index)
    : options_(options), random_(Hash64(std::to_string(index), options.seed)) {
  std::vector<double> shares;
  for (const ClassShare& share : options.classes) {
    shares.push_back(share.share);
  }
  std::discrete_distribution<std::size_t> choose_class(shares.begin(), shares.end());
  class_name_ = options.classes[choose_class(random_)].name;
  organisation_key_ = options.organisation_keys[random_() % options.organisation_keys.size()];
  turns_ = std::uniform_int_distribution(options.min_turns, options.max_turns)(random_);
}

std::string ProgramPlan::NextMessageText() {
  const int words = std::uniform_int_distribution(5, 40)(random_);
  std::string text;
  for (int index = 0; index < words; ++index) {
    text += text.empty() ? "" : " ";
    text += "w" + std::to_string(random_() % 10000);
  }
  return text;
}

bool ProgramPlan::NextBool(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

Duration ProgramPlan::NextPause() {
  const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
  return std::chrono::microseconds(
      static_cast<std::int64_t>(factor * 1000 * options_.tool_pause_ms));
}

}  // namespace acaciaspring::load
