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

/// @brief KV cache block of one message that follows a given prefix.
struct CacheBlock {
  /// Key of the message list up to and including this message (see ExtendPrefix).
  std::string prefix;
  std::uint64_t tokens = 0;
  bool operator==(const CacheBlock&) const = default;
};
/// @brief Blocks of a message list, first message first.
using BlockChain = std::vector<CacheBlock>;

BlockChain MakeChain(const std::vector<Message>& messages);
std::uint64_t CountTokens(const BlockChain& chain);

/// @brief KV cache of an engine with a fixed capacity in tokens, which cached blocks and
/// reservations of running requests share. Blocks that are not pinned are evicted in
/// least-recently-used order; a block is never evicted before the blocks that extend it.
class PrefixCache {
 public:
  enum class Change { kStored, kEvicted };
  using Observer = std::function<void(Change change, const CacheBlock& block)>;

  PrefixCache(std::uint64_t capacity_tokens, Observer observer);

  /// @brief Number of leading blocks of the chain that are cached.
  std::size_t Match(const BlockChain& chain) const;
  /// @brief True if `tokens` could be reserved after the eviction of all blocks that are not
  /// pinned.
  bool Fits(std::uint64_t tokens) const;
  /// @brief Reserves tokens and evicts blocks as needed; false without any change if they do not
  /// fit.
  bool Reserve(std::uint64_t tokens);
  void Unreserve(std::uint64_t tokens);
  /// @brief Stores the missing blocks in order, up to the first one that does not fit, and marks
  /// the cached ones as recently used. Returns the number of leading blocks that are cached.
  std::size_t Store(const BlockChain& chain);
  /// @brief Protects cached blocks from eviction until the same number of Unpin calls. Every block
  /// must be cached.
  void Pin(const BlockChain& chain);
  void Unpin(const BlockChain& chain);

  std::uint64_t used() const { return used_; }
  std::uint64_t capacity() const { return capacity_; }

 private:
  struct Entry {
    CacheBlock block;
    std::uint32_t pins = 0;
    /// Position in lru_; only valid without pins.
    std::list<std::string>::iterator lru_position;
  };

  void EvictToFit(std::uint64_t tokens);

  std::uint64_t capacity_;
  Observer observer_;
  std::uint64_t used_ = 0;
  std::uint64_t reserved_ = 0;
  std::uint64_t pinned_ = 0;
  std::unordered_map<std::string, Entry> entries_;
  /// Prefixes without pins, most recently used first.
  std::list<std::string> lru_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_PREFIX_CACHE_H_
