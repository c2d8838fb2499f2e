#ifndef FAKES_FAKE_STORE_H_
#define FAKES_FAKE_STORE_H_

#include <list>
#include <map>
#include <string>

#include "fakes/fake_http_server.h"
#include "fakes/store_model.h"

namespace acaciaspring::fakes {

struct StoreOptions {
  std::uint32_t partitions_per_topic = 12;
};

/// @brief Stand-in for the platform's metadata store: log, keyed topics and groups.
///
/// Fault switches besides those of FakeHttpServer: lose_answers (share in percent of the appends
/// that are done without an answer), late_ms (with lose_answers: the append is done after this time
/// instead), silent (calls are left without an answer), away_percent (so many of the partitions
/// refuse appends and reads; away_salt chooses which), deal_anew (on each change, all partitions
/// are dealt anew).
class FakeStore {
 public:
  FakeStore(net::Loop& loop, const net::Address& listen, const StoreOptions& options);
  net::Address address() const { return service_.address(); }
  FaultSwitches& faults() { return service_.faults(); }
  /// @brief Writes a key as the operator or a server does.
  void WriteKey(const std::string& topic, const std::string& key, const std::string& value);
  void ReassignPartitions();

 private:
  /// @brief Refuses a call to a partition that is away.
  bool RefuseAway(const Call& call);
  void Append(const Call& call);
  void Read(const Call& call);
  void Newest(const Call& call);
  void Trim(const Call& call);
  void Join(const Call& call);
  void Leave(const Call& call);
  StoreAppendResult Execute(const std::string& topic,
                            std::uint32_t part,
                            const StoreAppend& append);

  StoreOptions options_;
  std::map<StorePartitionName, StorePartition> partitions_;
  /// Newest value and offset by key, of each keyed topic.
  std::map<std::string, std::map<std::string, std::pair<std::string, std::uint64_t>>> keyed_;
  std::map<std::string, StoreGroup> groups_;
  std::uint64_t append_count_ = 0;
  FakeHttpServer service_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_FAKE_STORE_H_
