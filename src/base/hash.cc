#include <xxhash.h>

#include <array>
#include <cstdio>

#include "acaciaspring/base.h"

namespace acaciaspring {

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string HashHex(std::string_view data) {
  const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text.data();
}

ProgramId MakeProgramId(const OrganisationId& organisation, const IdempotencyKey& key) {
  // The length prefix makes the encoding unambiguous: ("ab", "c") and ("a", "bc") must differ.
  return ProgramId(HashHex(std::to_string(organisation.value().size()) + ":" +
                           organisation.value() + ":" + key.value()));
}

ShardId ShardOf(const ProgramId& program) {
  return ShardId(static_cast<std::uint16_t>(Hash64(program.value()) % kShardCount));
}

}  // namespace acaciaspring
