#ifndef ACACIASPRING_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_
#define ACACIASPRING_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <tuple>

#include "acaciaspring/base.h"

namespace acaciaspring::membership {

/// @brief Kinds of news in the order in which they are sent.
enum class NewsKind : std::uint8_t { kLiveness, kFlags, kRevision };

/// @brief Members about which there is news, each with a bounded number of transmissions. News that
/// was sent least goes first.
class GossipQueue {
 public:
  /// @brief Restarts the transmissions of this news.
  void Push(const DaemonId& id, NewsKind kind);
  /// @brief Another member sent the same news: counts as a transmission of our own.
  void Heard(const DaemonId& id, NewsKind kind, std::size_t members);
  void Remove(const DaemonId& id);
  /// @brief True while there is news of a kind that changes the digest.
  bool HasDigestNews() const;
  bool empty() const { return order_.empty(); }
  std::size_t size() const { return order_.size(); }
  /// @brief Offers news to `take`, which returns false when the datagram is full. `members` sets
  /// the number of transmissions.
  void Visit(std::size_t members, const std::function<bool(const DaemonId&, NewsKind)>& take);
  /// @brief Transmissions of one piece of news among that many members.
  static std::uint32_t TransmissionLimit(NewsKind kind, std::size_t members);

 private:
  /// Kind, transmissions so far, member.
  using Item = std::tuple<NewsKind, std::uint32_t, DaemonId>;
  void CountTransmission(Item item, std::size_t members);

  std::set<Item> order_;
  std::map<std::pair<DaemonId, NewsKind>, std::uint32_t> transmissions_;
};

}  // namespace acaciaspring::membership

#endif  // ACACIASPRING_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_
