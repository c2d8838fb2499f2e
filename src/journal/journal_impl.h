#ifndef ACACIASPRING_SRC_JOURNAL_JOURNAL_IMPL_H_
#define ACACIASPRING_SRC_JOURNAL_JOURNAL_IMPL_H_

#include <map>
#include <memory>
#include <vector>

#include "acaciaspring/journal.h"
#include "src/journal/log_client.h"
#include "src/journal/writer.h"

namespace acaciaspring::journal {

struct Journal::Impl : std::enable_shared_from_this<Impl> {
 public:
  Impl(net::Loop& event_loop, net::HttpClient& client, JournalOptions journal_options);

  void Start();
  AppendResult Append(Record record, Done done);
  bool Available() const;

  JournalOptions options;
  State state;
  bool caught_up = false;
  JournalCounters counters;
  std::vector<Observer> observers;
  std::vector<std::function<void()>> rebuild_callbacks;
  std::map<ProgramId, std::size_t> pending_programs;

  struct Pending {
    Done done;
    ProgramId program;
  };
  std::map<std::uint64_t, Pending> pending;

 private:
  void Poll();
  void OnReadResponse(std::optional<ReadResponse> answer);
  void RetryPoll();
  bool ApplyEntries(const std::string& body);
  void ApplyEntry(const LogEntry& entry);
  void OnOwnRecord(std::uint64_t sequence, const Verdict& verdict);
  void Rebuild(Offset first);
  void RejectLostRecords();
  void ScheduleAppend();
  void AppendNextBatch();
  void OnAppendDone(bool acknowledged);
  bool IsOwn(const RecordId& id) const;

  net::Loop& loop_;
  LogClient log_;
  Writer writer_;
  bool started_ = false;
  net::Timer poll_timer_;
  Duration poll_retry_delay_{};
  net::Timer append_timer_;
  bool append_scheduled_ = false;
  /// Time of the last answer to a poll.
  std::optional<MonotonicTime> last_response_time_;
  /// Last sequence number acknowledged by the log.
  std::uint64_t last_acknowledged_sequence_ = 0;
  /// Records up to here were acknowledged before the last rebuild; the log may have dropped them.
  std::uint64_t last_lost_sequence_ = 0;
};

}  // namespace acaciaspring::journal

#endif  // ACACIASPRING_SRC_JOURNAL_JOURNAL_IMPL_H_
