#include <algorithm>

#include "acaciaspring/scheduling.h"

namespace acaciaspring {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options_(options), tokens_(options.capacity) {}

void RetryBudget::OnRequest() {
  tokens_ = std::min(tokens_ + options_.ratio, options_.capacity);
}

bool RetryBudget::TryRetry() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace acaciaspring
