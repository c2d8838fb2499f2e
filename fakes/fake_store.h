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

/// @brief Fake of the platform's metadata store: logs, keyed topics and consumer groups.
///
/// Fault switches besides those of FakeHttpServer: lose_answers (percentage of appends that are
/// executed but get no response), late_ms (delay before the appends chosen by lose_answers are
/// executed), silent (no call gets a response), away_percent (percentage of partitions that refuse
/// appends and reads; away_salt selects which ones; keyed topics are not affected).
class FakeStore {
 public:
  FakeStore(net::Loop& loop, const net::Address& listen, const StoreOptions& options);
  net::Address address() const { return server_.address(); }
  FaultSwitches& faults() { return server_.faults(); }
  /// @brief Writes a key of a keyed topic, as the operator or a server does. An empty value deletes
  /// the key.
  void WriteKey(const std::string& topic, const std::string& key, const std::string& value);
  /// @brief Deletes the records of a keyed topic; the newest one of each key remains readable.
  void DropHistory(const std::string& topic);
  /// @brief Reassigns the partitions of all groups (see StoreGroup::ReassignPartitions).
  void ReassignPartitions();

 private:
  /// @brief Refuses the call and returns true if away_percent makes its partition unavailable.
  bool RefuseIfUnavailable(const Call& call);
  void Append(const Call& call);
  void Read(const Call& call);
  void ReadNewest(const Call& call);
  void Trim(const Call& call);
  void Join(const Call& call);
  void Leave(const Call& call);
  StoreAppendResult Execute(const std::string& topic,
                            std::uint32_t part,
                            const StoreAppend& append);

  StoreOptions options_;
  std::map<StorePartitionId, StorePartition> partitions_;
  /// Newest value and its offset, by keyed topic and key.
  std::map<std::string, std::map<std::string, std::pair<std::string, std::uint64_t>>>
      newest_values_;
  std::map<std::string, StoreGroup> groups_;
  std::uint64_t append_count_ = 0;
  FakeHttpServer server_;
};

}  // namespace acaciaspring::fakes

#endif  // FAKES_FAKE_STORE_H_
