#include "src/load/entry_directory.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "fakes/json_text.h"

namespace acaciaspring::load {

namespace {

constexpr Duration kDefaultTtl = std::chrono::seconds(5);
constexpr Duration kMinTtl = std::chrono::milliseconds(100);
constexpr Duration kFailureExclusion = std::chrono::seconds(2);
constexpr Duration kRefreshTimeout = std::chrono::seconds(2);
constexpr Duration kRefreshRetryDelay = std::chrono::milliseconds(200);
constexpr std::size_t kMaxListBytes = std::size_t{1} << 20;

}  // namespace

EntryDirectory::EntryDirectory(net::Loop& loop,
                               net::HttpClient& client,
                               std::vector<net::Address> seeds,
                               std::string organisation_key,
                               std::uint64_t random_seed)
    : loop_(loop),
      client_(client),
      seeds_(std::move(seeds)),
      organisation_key_(std::move(organisation_key)),
      random_(random_seed),
      ttl_(kDefaultTtl) {}

void EntryDirectory::Start(std::function<void()> on_ready) {
  on_ready_ = std::move(on_ready);
  Refresh();
}

net::Address EntryDirectory::Choose(const std::optional<net::Address>& avoid) {
  std::vector<net::Address> candidates = WithoutExcluded(entries_);
  if (candidates.empty()) {
    candidates = WithoutExcluded(seeds_);
  }
  if (candidates.empty()) {
    candidates = entries_.empty() ? seeds_ : entries_;
  }
  if (avoid && candidates.size() > 1) {
    std::erase(candidates, *avoid);
  }
  return candidates[random_() % candidates.size()];
}

void EntryDirectory::ReportFailure(const net::Address& address) {
  excluded_until_[address.ToString()] = loop_.Now() + kFailureExclusion;
}

std::vector<net::Address> EntryDirectory::WithoutExcluded(
    const std::vector<net::Address>& candidates) const {
  std::vector<net::Address> remaining;
  for (const net::Address& candidate : candidates) {
    const auto excluded = excluded_until_.find(candidate.ToString());
    if (excluded == excluded_until_.end() || excluded->second <= loop_.Now()) {
      remaining.push_back(candidate);
    }
  }
  return remaining;
}

void EntryDirectory::Refresh() {
  const net::Address address = Choose(std::nullopt);
  call_ = net::Fetch(client_,
                     {.server = address,
                      .method = "GET",
                      .target = "/v1/entries",
                      .headers = {{"authorization", "Bearer " + organisation_key_}},
                      .body = "",
                      .io_timeout = kRefreshTimeout},
                     kMaxListBytes, [this, address](const net::HttpReply& response) {
                       OnResponse(address, response);
                     });
}

void EntryDirectory::OnResponse(const net::Address& source, const net::HttpReply& response) {
  const auto* finished = std::get_if<net::HttpFinished>(&response.result);
  const bool ok = finished != nullptr && finished->status == 200 && ParseList(response.body);
  if (ok) {
    failed_refreshes_ = 0;
  } else {
    ReportFailure(source);
    ++failed_refreshes_;
    LOG_EVERY_N(WARNING, 50) << "cannot get the list of entries from " << source.ToString();
  }
  refresh_timer_ = loop_.After(ok ? ttl_ : kRefreshRetryDelay, [this] { Refresh(); });
  if (on_ready_ && (ok || failed_refreshes_ >= seeds_.size())) {
    std::exchange(on_ready_, nullptr)();
  }
}

bool EntryDirectory::ParseList(const std::string& body) {
  const std::optional<Json::Value> list = fakes::ParseJson(body);
  if (!list || !list->isObject() || !(*list)["entries"].isArray()) {
    return false;
  }
  std::vector<net::Address> entries;
  try {
    for (const Json::Value& entry : (*list)["entries"]) {
      entries.push_back(net::ParseAddress(entry["address"].asString()));
    }
    ttl_ = std::max<Duration>(kMinTtl, std::chrono::milliseconds((*list)["ttl_ms"].asUInt()));
  } catch (const net::AddressError&) {
    return false;
  } catch (const Json::Exception&) {
    return false;
  }
  if (entries.empty()) {
    return false;
  }
  entries_ = std::move(entries);
  return true;
}

}  // namespace acaciaspring::load
