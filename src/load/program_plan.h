#ifndef ACACIASPRING_SRC_LOAD_PROGRAM_PLAN_H_
#define ACACIASPRING_SRC_LOAD_PROGRAM_PLAN_H_

#include <cstdint>
#include <random>
#include <string>

#include "src/load/options.h"

namespace acaciaspring::load {

/// @brief Random choices of one program. The same seed and index give the same choices.
class ProgramPlan {
 public:
  /// @brief `index` identifies the program in the run.
  ProgramPlan(const LoadOptions& options, std::uint64_t index);

  const std::string& organisation_key() const { return organisation_key_; }
  const std::string& class_name() const { return class_name_; }
  std::uint32_t turns() const { return turns_; }
  /// @brief Text of the next user message.
  std::string NextMessageText();
  /// @brief Returns true with the given probability.
  bool NextBool(double probability);
  /// @brief Draws a pause between 0.5 and 1.5 times the configured mean.
  Duration NextPause();

 private:
  const LoadOptions& options_;
  std::mt19937_64 random_;
  std::string organisation_key_;
  std::string class_name_;
  std::uint32_t turns_ = 0;
};

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_PROGRAM_PLAN_H_
