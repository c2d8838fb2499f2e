#include <algorithm>

#include "src/load/program_runner.h"

namespace acaciaspring::load {

std::string FindHistoryDifference(const std::vector<fakes::Message>& stored,
                                  std::vector<fakes::Message> expected,
                                  const std::vector<fakes::Message>& uncertain,
                                  std::uint64_t max_tokens) {
  if (!uncertain.empty() && stored.size() > expected.size()) {
    expected.insert(expected.end(), uncertain.begin(), uncertain.end());
    // The answer may be shorter than `max_tokens`, because the scheduler lowers the limit to the
    // remaining budget.
    const std::uint64_t words =
        std::clamp<std::uint64_t>(fakes::CountWords(stored.back().content), 1, max_tokens);
    expected.push_back({"assistant", fakes::JoinWords(fakes::AnswerWords(expected, words))});
  }
  if (stored.size() != expected.size()) {
    return std::to_string(stored.size()) + " messages, expected " + std::to_string(expected.size());
  }
  for (std::size_t index = 0; index < stored.size(); ++index) {
    if (stored[index] != expected[index]) {
      return "message " + std::to_string(index) + " is " + stored[index].role + ": '" +
             stored[index].content + "', expected " + expected[index].role + ": '" +
             expected[index].content + "'";
    }
  }
  return {};
}

}  // namespace acaciaspring::load
