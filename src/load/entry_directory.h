#ifndef ACACIASPRING_SRC_LOAD_ENTRY_DIRECTORY_H_
#define ACACIASPRING_SRC_LOAD_ENTRY_DIRECTORY_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "acaciaspring/net.h"

namespace acaciaspring::load {

/// @brief Addresses of the entry servers, refreshed from `/v1/entries` when the time to live of the
/// list expires. The seed addresses are used until the first list arrives and while all listed
/// entries are excluded after failures.
class EntryDirectory {
 public:
  EntryDirectory(net::Loop& loop,
                 net::HttpClient& client,
                 std::vector<net::Address> seeds,
                 std::string organisation_key,
                 std::uint64_t random_seed);

  /// @brief Calls `on_ready` once, when the first list has arrived or when as many requests as
  /// there are seeds have failed.
  void Start(std::function<void()> on_ready);
  /// @brief Returns a random entry that has not failed recently, if possible not `avoid`.
  net::Address Choose(const std::optional<net::Address>& avoid);
  /// @brief Excludes an entry from Choose() for a short time.
  void ReportFailure(const net::Address& address);

 private:
  void Refresh();
  void OnResponse(const net::Address& source, const net::HttpReply& response);
  bool ParseList(const std::string& body);
  std::vector<net::Address> WithoutExcluded(const std::vector<net::Address>& candidates) const;

  net::Loop& loop_;
  net::HttpClient& client_;
  std::vector<net::Address> seeds_;
  std::string organisation_key_;
  std::mt19937_64 random_;
  std::vector<net::Address> entries_;
  Duration ttl_;
  /// End of the exclusion of failed entries, by address text.
  std::map<std::string, MonotonicTime> excluded_until_;
  std::size_t failed_refreshes_ = 0;
  std::function<void()> on_ready_;
  net::Timer refresh_timer_;
  std::shared_ptr<net::HttpCall> call_;
};

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_ENTRY_DIRECTORY_H_
