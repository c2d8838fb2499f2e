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

/// @brief The entry addresses that the system names, kept for their time to live. The addresses of
/// the arguments are used until there is a list and when every listed entry has failed.
class EntryDirectory {
 public:
  EntryDirectory(net::Loop& loop,
                 net::HttpClient& client,
                 std::vector<net::Address> seeds,
                 std::string organisation_key,
                 std::uint64_t random_seed);

  /// @brief Calls when the first list has arrived, or when every seed has been asked in vain.
  void Start(std::function<void()> on_ready);
  /// @brief A random entry that has not failed lately; another one than `avoid` if there is one.
  net::Address Choose(const std::optional<net::Address>& avoid);
  /// @brief Keeps an entry out of the choice for a while.
  void ReportFailure(const net::Address& address);

 private:
  void Refresh();
  void OnReply(const net::Address& asked, const net::HttpReply& reply);
  bool ParseList(const std::string& body);
  std::vector<net::Address> Usable(const std::vector<net::Address>& candidates) const;

  net::Loop& loop_;
  net::HttpClient& client_;
  std::vector<net::Address> seeds_;
  std::string organisation_key_;
  std::mt19937_64 random_;
  std::vector<net::Address> entries_;
  Duration time_to_live_;
  /// By address text.
  std::map<std::string, MonotonicTime> failed_until_;
  std::size_t failed_refreshes_ = 0;
  std::function<void()> on_ready_;
  net::Timer refresh_timer_;
  std::shared_ptr<net::HttpCall> call_;
};

}  // namespace acaciaspring::load

#endif  // ACACIASPRING_SRC_LOAD_ENTRY_DIRECTORY_H_
