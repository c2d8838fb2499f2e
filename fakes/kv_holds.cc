#include "fakes/kv_holds.h"

#include <utility>

namespace acaciaspring::fakes {

namespace {

Json::Value ListTokens(const std::map<std::string, BlockChain>& chains) {
  Json::Value list(Json::arrayValue);
  for (const auto& [program, chain] : chains) {
    Json::Value entry;
    entry["program"] = program;
    entry["tokens"] = static_cast<Json::UInt64>(CountTokens(chain));
    list.append(entry);
  }
  return list;
}

}  // namespace

void KvHolds::Hold(const std::string& program, BlockChain chain) {
  chain.resize(cache_.Match(chain));
  cache_.Pin(chain);
  const auto found = held_.find(program);
  if (found != held_.end()) {
    cache_.Unpin(found->second);
  }
  held_[program] = std::move(chain);
}

std::optional<std::uint64_t> KvHolds::Release(const std::string& program) {
  const bool was_exported = exported_.erase(program) > 0;
  const auto found = held_.find(program);
  if (found == held_.end()) {
    return was_exported ? std::optional<std::uint64_t>(0) : std::nullopt;
  }
  const std::uint64_t tokens = CountTokens(found->second);
  cache_.Unpin(found->second);
  held_.erase(found);
  return tokens;
}

std::optional<BlockChain> KvHolds::Export(const std::string& program) {
  const auto found = held_.find(program);
  if (found == held_.end()) {
    return std::nullopt;
  }
  BlockChain chain = found->second;
  Release(program);
  exported_[program] = chain;
  return chain;
}

bool KvHolds::Import(const std::string& program, const BlockChain& chain) {
  if (cache_.Store(chain) < chain.size()) {
    return false;
  }
  Hold(program, chain);
  exported_.erase(program);
  return true;
}

std::optional<BlockChain> KvHolds::FindExported(const std::string& program) const {
  const auto found = exported_.find(program);
  return found == exported_.end() ? std::nullopt : std::optional(found->second);
}

Json::Value KvHolds::ToJson() const {
  Json::Value value;
  value["holds"] = ListTokens(held_);
  value["exports"] = ListTokens(exported_);
  return value;
}

}  // namespace acaciaspring::fakes
