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
  void OnReadResponse(std::optional<ReadResponse> response);
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
  /// Time of the last response to a poll.
  std::optional<MonotonicTime> last_response_time_;
  /// Highest own sequence number that the log has acknowledged or that was read back from it.
  std::uint64_t last_acknowledged_sequence_ = 0;
  /// Own records up to this sequence number were in the log before the last rebuild, and the log
  /// may have trimmed them.
  std::uint64_t last_lost_sequence_ = 0;
};

}  // namespace acaciaspring::journal

#endif  // ACACIASPRING_SRC_JOURNAL_JOURNAL_IMPL_H_
