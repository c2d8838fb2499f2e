#include "fakes/prefix_cache.h"

#include <algorithm>
#include <utility>

namespace acaciaspring::fakes {

BlockChain MakeChain(const std::vector<Message>& messages) {
  BlockChain chain;
  std::string prefix;
  for (const Message& message : messages) {
    prefix = ExtendPrefix(prefix, message);
    chain.push_back({prefix, CountWords(message.content)});
  }
  return chain;
}

std::uint64_t CountTokens(const BlockChain& chain) {
  std::uint64_t tokens = 0;
  for (const CacheBlock& block : chain) {
    tokens += block.tokens;
  }
  return tokens;
}

PrefixCache::PrefixCache(std::uint64_t capacity_tokens, Observer observer)
    : capacity_(capacity_tokens), observer_(std::move(observer)) {}

std::size_t PrefixCache::Match(const BlockChain& chain) const {
  const auto missing = std::find_if(chain.begin(), chain.end(), [this](const CacheBlock& block) {
    return !entries_.contains(block.prefix);
  });
  return static_cast<std::size_t>(missing - chain.begin());
}

bool PrefixCache::Fits(std::uint64_t tokens) const {
  return reserved_ + pinned_ + tokens <= capacity_;
}

bool PrefixCache::Reserve(std::uint64_t tokens) {
  if (!Fits(tokens)) {
    return false;
  }
  EvictToFit(tokens);
  reserved_ += tokens;
  used_ += tokens;
  return true;
}

void PrefixCache::Unreserve(std::uint64_t tokens) {
  reserved_ -= tokens;
  used_ -= tokens;
}

std::size_t PrefixCache::Store(const BlockChain& chain) {
  // Pins the cached blocks, so that storing their extension does not evict them.
  const auto cached_end = chain.begin() + static_cast<std::ptrdiff_t>(Match(chain));
  BlockChain stored(chain.begin(), cached_end);
  Pin(stored);
  for (auto block = cached_end; block != chain.end() && Fits(block->tokens); ++block) {
    EvictToFit(block->tokens);
    used_ += block->tokens;
    pinned_ += block->tokens;
    entries_.emplace(block->prefix, Entry{*block, 1, {}});
    stored.push_back(*block);
    observer_(Change::kStored, *block);
  }
  Unpin(stored);
  return stored.size();
}

void PrefixCache::Pin(const BlockChain& chain) {
  for (const CacheBlock& block : chain) {
    Entry& entry = entries_.at(block.prefix);
    if (entry.pins++ == 0) {
      lru_.erase(entry.lru_position);
      pinned_ += entry.block.tokens;
    }
  }
}

void PrefixCache::Unpin(const BlockChain& chain) {
  // In reverse order, so that the first block is the most recent one and the end of the chain is
  // evicted first.
  for (auto block = chain.rbegin(); block != chain.rend(); ++block) {
    Entry& entry = entries_.at(block->prefix);
    if (--entry.pins == 0) {
      lru_.push_front(block->prefix);
      entry.lru_position = lru_.begin();
      pinned_ -= entry.block.tokens;
    }
  }
}

void PrefixCache::EvictToFit(std::uint64_t tokens) {
  while (used_ + tokens > capacity_ && !lru_.empty()) {
    const auto found = entries_.find(lru_.back());
    const CacheBlock block = found->second.block;
    lru_.pop_back();
    entries_.erase(found);
    used_ -= block.tokens;
    observer_(Change::kEvicted, block);
  }
}

}  // namespace acaciaspring::fakes
