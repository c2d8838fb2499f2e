#include "src/program/call.h"

namespace acaciaspring::program {

bool IsSameOperation(const wire::Operation& left, const wire::Operation& right) {
  return wire::Encode(left) == wire::Encode(right);
}

}  // namespace acaciaspring::program
