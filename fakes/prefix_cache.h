#ifndef FAKES_PREFIX_CACHE_H_
#define FAKES_PREFIX_CACHE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "fakes/answer.h"

namespace acaciaspring::fakes {

/// @brief The KV memory of one message behind a given prefix.
struct CacheBlock {
  /// Identity of the message list up to and including this message (see ExtendPrefix).
  std::string prefix;
  std::uint64_t tokens = 0;
  bool operator==(const CacheBlock&) const = default;
};
/// @brief Blocks of a message list, first message first.
using BlockChain = std::vector<CacheBlock>;

BlockChain MakeChain(const std::vector<Message>& messages);
std::uint64_t CountTokens(const BlockChain& chain);

/// @brief Limited KV memory of an engine: cached blocks, of which pinned ones stay, and memory
/// reserved for running requests. The least recently used block is evicted first, and a block never
/// before the blocks that extend it.
class PrefixCache {
 public:
  enum class Change { kStored, kEvicted };
  using Observer = std::function<void(Change change, const CacheBlock& block)>;

  PrefixCache(std::uint64_t capacity_tokens, Observer observer);

  /// @brief Number of leading blocks of the chain that are cached.
  std::size_t Match(const BlockChain& chain) const;
  /// @brief True when `tokens` more could be reserved after evicting every block that is not
  /// pinned.
  bool Fits(std::uint64_t tokens) const;
  /// @brief Takes memory and evicts as needed; false (and no change) when it does not fit.
  bool Reserve(std::uint64_t tokens);
  void Unreserve(std::uint64_t tokens);
  /// @brief Caches the missing blocks in order and marks all as used; stops at the first block that
  /// does not fit. Returns the number of blocks of the chain that are cached.
  std::size_t Store(const BlockChain& chain);
  /// @brief Protects cached blocks from eviction; pins are counted. Every block must be cached.
  void Pin(const BlockChain& chain);
  void Unpin(const BlockChain& chain);

  std::uint64_t used() const { return used_; }
  std::uint64_t capacity() const { return capacity_; }

 private:
  struct Entry {
    CacheBlock block;
    std::uint32_t pins = 0;
    /// Position in recent_; only valid without pins.
    std::list<std::string>::iterator position;
  };

  void MakeRoom(std::uint64_t tokens);

  std::uint64_t capacity_;
  Observer observer_;
  std::uint64_t used_ = 0;
  std::uint64_t reserved_ = 0;
  std::uint64_t pinned_ = 0;
  std::unordered_map<std::string, Entry> entries_;
  /// Prefixes without pins, most recently used first.
  std::list<std::string> recent_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_PREFIX_CACHE_H_
