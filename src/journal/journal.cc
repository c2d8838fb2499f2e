#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "src/journal/journal_impl.h"

namespace acaciaspring::journal {

namespace {

constexpr Duration kInitialPollRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxPollRetryDelay = std::chrono::seconds(1);

ProgramId ProgramIdOf(const Record& record) {
  return std::visit(
      [](const auto& entry) {
        if constexpr (requires { entry.program; }) {
          return entry.program;
        } else {
          return ProgramId();
        }
      },
      record);
}

/// A response of at most this size was not truncated by the requested size, so it reaches the end
/// of the log.
std::size_t ShortResponseBytes(const JournalOptions& options) {
  const std::size_t largest =
      std::max(options.writer.max_batch_bytes, options.writer.max_record_bytes) + 1024;
  return options.max_poll_bytes > largest ? options.max_poll_bytes - largest : 0;
}

}  // namespace

Journal::Impl::Impl(net::Loop& event_loop, net::HttpClient& client, JournalOptions journal_options)
    : options(std::move(journal_options)),
      state(options.state),
      loop_(event_loop),
      log_(event_loop, client, options.log, options.stream),
      writer_(options.writer, options.daemon, options.incarnation) {}

void Journal::Impl::Start() {
  started_ = true;
  Poll();
  ScheduleAppend();
}

void Journal::Impl::Poll() {
  ++counters.polls;
  // Long polling starts once the end of the log has been reached.
  const Duration wait = caught_up ? options.poll_wait : Duration(0);
  log_.Read(state.applied_offset() + Offset(1), wait, options.max_poll_bytes,
            options.log_unavailable_after,
            [weak = weak_from_this()](std::optional<ReadResponse> response) {
              if (const auto self = weak.lock()) {
                self->OnReadResponse(std::move(response));
              }
            });
}

void Journal::Impl::OnReadResponse(std::optional<ReadResponse> response) {
  if (!response) {
    return RetryPoll();
  }
  if (poll_retry_delay_ != Duration()) {
    LOG(INFO) << "the log service answers again";
  }
  last_response_time_ = loop_.Now();
  if (response->first_retained > state.applied_offset() + Offset(1)) {
    Rebuild(response->first_retained);
  }
  if (!ApplyEntries(response->body)) {
    LOG(ERROR) << "malformed read response from the log after offset " << state.applied_offset()
               << "; retrying";
    return RetryPoll();
  }
  poll_retry_delay_ = Duration();
  if (response->body.size() <= ShortResponseBytes(options) && !caught_up) {
    caught_up = true;
    RejectLostRecords();
  }
  Poll();
}

void Journal::Impl::RetryPoll() {
  ++counters.poll_failures;
  if (poll_retry_delay_ == Duration()) {
    LOG(WARNING) << "failed to read the log after offset " << state.applied_offset();
  }
  poll_retry_delay_ = std::clamp(poll_retry_delay_ * 2, kInitialPollRetryDelay, kMaxPollRetryDelay);
  poll_timer_ = loop_.After(poll_retry_delay_, [this] { Poll(); });
}

bool Journal::Impl::ApplyEntries(const std::string& body) {
  const auto entries = ParseEntries(body);
  if (!entries) {
    return false;
  }
  for (const LogEntry& entry : *entries) {
    if (entry.offset > state.applied_offset() + Offset(1)) {
      // The state must not skip an entry. The log has trimmed entries since it reported its first
      // offset.
      Rebuild(entry.offset);
    }
    if (entry.offset > state.applied_offset()) {
      ApplyEntry(entry);
    }
  }
  return true;
}

void Journal::Impl::ApplyEntry(const LogEntry& entry) {
  ++counters.entries_applied;
  Batch batch;
  try {
    batch = wire::Decode<Batch>(entry.bytes);
  } catch (const wire::DecodeError& error) {
    LOG(ERROR) << "skipped malformed log entry " << entry.offset << ": " << error.what();
    return state.ApplyMalformed(entry.offset, entry.append_time);
  }
  const std::vector<AppliedRecord> applied = state.Apply(entry.offset, entry.append_time, batch);
  for (std::size_t index = 0; index < applied.size(); ++index) {
    const Verdict& verdict = applied[index].verdict;
    for (std::size_t observer = 0; observer < observers.size(); ++observer) {
      observers[observer](batch.envelopes[index], entry.offset, verdict);
    }
    if (IsOwn(applied[index].id)) {
      OnOwnRecord(applied[index].id.sequence, verdict);
    }
  }
}

bool Journal::Impl::IsOwn(const RecordId& id) const {
  return id.daemon == options.daemon && id.incarnation == options.incarnation;
}

void Journal::Impl::OnOwnRecord(std::uint64_t sequence, const Verdict& verdict) {
  if (writer_.OnRecordApplied(sequence)) {
    log_.IgnoreAppendResult();
    ScheduleAppend();
  }
  last_acknowledged_sequence_ = std::max(last_acknowledged_sequence_, sequence);
  const auto entry = pending.find(sequence);
  if (entry == pending.end()) {
    return;
  }
  const Pending record = std::move(entry->second);
  pending.erase(entry);
  if (const auto count = pending_programs.find(record.program);
      count != pending_programs.end() && --count->second == 0) {
    pending_programs.erase(count);
  }
  if (record.done) {
    record.done(verdict);
  }
}

void Journal::Impl::Rebuild(Offset first) {
  // Nothing is lost if no entry has been applied yet.
  const bool had_state = state.applied_offset() >= state.first_offset();
  LOG(INFO) << "the log no longer retains offset " << state.applied_offset() + Offset(1)
            << "; replay starts at offset " << first;
  state = State(options.state, first);
  caught_up = false;
  last_lost_sequence_ = last_acknowledged_sequence_;
  if (had_state) {
    ++counters.rebuilds;
    for (const auto& callback : rebuild_callbacks) {
      callback();
    }
  }
}

void Journal::Impl::RejectLostRecords() {
  while (!pending.empty() && pending.begin()->first <= last_lost_sequence_) {
    OnOwnRecord(pending.begin()->first, Rejected{RejectReason::kUndecided});
  }
}

AppendResult Journal::Impl::Append(Record record, Done done) {
  ProgramId program = ProgramIdOf(record);
  AppendResult result = writer_.Enqueue(std::move(record), state.applied_offset());
  const auto* id = std::get_if<RecordId>(&result);
  if (id == nullptr) {
    ++counters.queue_refusals;
    return result;
  }
  if (!program.empty()) {
    ++pending_programs[program];
  }
  pending[id->sequence] = {std::move(done), std::move(program)};
  ScheduleAppend();
  return result;
}

void Journal::Impl::ScheduleAppend() {
  if (!started_ || append_scheduled_) {
    return;
  }
  // Records queued in one loop iteration share an append.
  append_scheduled_ = true;
  loop_.Post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->append_scheduled_ = false;
      self->AppendNextBatch();
    }
  });
}

void Journal::Impl::AppendNextBatch() {
  const MonotonicTime now = loop_.Now();
  const std::optional<MonotonicTime> first_attempt = writer_.unacknowledged_since();
  std::optional<std::string> bytes = writer_.NextAppend(now);
  if (bytes) {
    ++counters.appends;
    counters.append_retries += first_attempt ? 1 : 0;
    log_.Append(std::move(*bytes), options.writer.append_timeout,
                [this](bool acknowledged) { OnAppendDone(acknowledged); });
  } else if (const auto wakeup = writer_.NextWakeup(now)) {
    append_timer_ =
        loop_.After(std::max(*wakeup - now, Duration(0)), [this] { AppendNextBatch(); });
  }
}

void Journal::Impl::OnAppendDone(bool acknowledged) {
  if (acknowledged) {
    last_acknowledged_sequence_ = std::max(last_acknowledged_sequence_, writer_.batch_end());
    writer_.OnAcknowledged();
  } else {
    writer_.OnFailed(loop_.Now());
  }
  ScheduleAppend();
}

bool Journal::Impl::Available() const {
  const MonotonicTime limit = loop_.Now() - options.log_unavailable_after;
  const std::optional<MonotonicTime> unacknowledged = writer_.unacknowledged_since();
  return last_response_time_ && *last_response_time_ > limit &&
         (!unacknowledged || *unacknowledged > limit);
}

Journal::Journal(net::Loop& loop, net::HttpClient& client, JournalOptions options)
    : impl_(std::make_shared<Impl>(loop, client, std::move(options))) {}
Journal::~Journal() = default;

void Journal::Start() {
  impl_->Start();
}

AppendResult Journal::Append(Record record, Done done) {
  return impl_->Append(std::move(record), std::move(done));
}
void Journal::OnApplied(Observer observer) {
  impl_->observers.push_back(std::move(observer));
}
void Journal::OnRebuilt(std::function<void()> callback) {
  impl_->rebuild_callbacks.push_back(std::move(callback));
}
const State& Journal::state() const {
  return impl_->state;
}
bool Journal::caught_up() const {
  return impl_->caught_up;
}
bool Journal::available() const {
  return impl_->Available();
}
bool Journal::IsPending(const ProgramId& program) const {
  return impl_->pending_programs.contains(program);
}
std::size_t Journal::pending_records() const {
  return impl_->pending.size();
}
const JournalCounters& Journal::counters() const {
  return impl_->counters;
}

}  // namespace acaciaspring::journal
