#ifndef FAKES_KV_HOLDS_H_
#define FAKES_KV_HOLDS_H_

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "fakes/prefix_cache.h"

namespace acaciaspring::fakes {

/// @brief KV holds: parts of the KV cache that stay pinned for a program between its calls, and
/// copies that were exported from the cache.
class KvHolds {
 public:
  explicit KvHolds(PrefixCache& cache) : cache_(cache) {}

  /// @brief Pins the cached part of a chain and replaces an earlier hold of the program.
  void Hold(const std::string& program, BlockChain chain);
  /// @brief Removes the hold and the exported copy. Returns the number of tokens of the hold, or
  /// nullopt if the program had neither.
  std::optional<std::uint64_t> Release(const std::string& program);
  /// @brief Replaces the hold by an exported copy and returns it; nullopt if there is no hold.
  std::optional<BlockChain> Export(const std::string& program);
  /// @brief Stores and holds a chain and removes the exported copy; false if the chain does not fit
  /// into the cache.
  bool Import(const std::string& program, const BlockChain& chain);
  /// @brief The exported copy of the program; nullopt if there is none.
  std::optional<BlockChain> FindExported(const std::string& program) const;
  /// @brief {"holds":[{"program","tokens"}],"exports":[{"program","tokens"}]}.
  Json::Value ToJson() const;

 private:
  PrefixCache& cache_;
  std::map<std::string, BlockChain> held_;
  std::map<std::string, BlockChain> exported_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_KV_HOLDS_H_
