#ifndef FAKES_KV_HOLDS_H_
#define FAKES_KV_HOLDS_H_

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "fakes/prefix_cache.h"

namespace acaciaspring::fakes {

/// @brief KV memory that programs keep on the engine between calls, and copies that were exported
/// out of the engine's memory.
class KvHolds {
 public:
  explicit KvHolds(PrefixCache& cache) : cache_(cache) {}

  /// @brief Keeps the cached part of a chain; replaces an earlier hold of the program.
  void Hold(const std::string& program, BlockChain chain);
  /// @brief Drops the hold and the exported copy. Returns the tokens that were held; nothing when
  /// there was neither.
  std::optional<std::uint64_t> Release(const std::string& program);
  /// @brief Moves the hold out of the engine's memory; nothing when there is no hold.
  std::optional<BlockChain> Export(const std::string& program);
  /// @brief Holds a chain again; false when it does not fit.
  bool Import(const std::string& program, const BlockChain& chain);
  /// @brief The copy that Export left; nothing when there is none.
  std::optional<BlockChain> Exported(const std::string& program) const;
  /// @brief {"holds":[{"program","tokens"}],"exports":[{"program","tokens"}]}.
  Json::Value ToJson() const;

 private:
  PrefixCache& cache_;
  std::map<std::string, BlockChain> held_;
  std::map<std::string, BlockChain> exported_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_KV_HOLDS_H_
