#include <cstring>

#include "acaciaspring/wire.h"

namespace acaciaspring::wire {

namespace {

const char* Describe(DecodeFault fault) {
  switch (fault) {
    case DecodeFault::kTruncated:
      return "message is truncated";
    case DecodeFault::kTrailingBytes:
      return "message has trailing bytes";
    case DecodeFault::kLengthBeyondEnd:
      return "length in message exceeds the remaining bytes";
    case DecodeFault::kInvalid:
      return "message is invalid";
  }
  return "invalid fault";
}

}  // namespace

DecodeError::DecodeError(DecodeFault fault) : Error(Describe(fault)), fault_(fault) {}

void InputArchive::Read(void* out, std::size_t size) {
  if (size > data_.size()) {
    throw DecodeError(DecodeFault::kTruncated);
  }
  std::memcpy(out, data_.data(), size);
  data_.remove_prefix(size);
}

}  // namespace acaciaspring::wire
