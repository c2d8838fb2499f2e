// What a call does once the fold has decided on its record.

#include <utility>

#include "src/program/home_impl.h"

namespace acaciaspring::program {

namespace {

NotRunReason ToNotRunReason(journal::RejectReason reason) {
  switch (reason) {
    case journal::RejectReason::kBudgetExhausted:
      return NotRunReason::kBudgetExhausted;
    case journal::RejectReason::kCallLimitReached:
      return NotRunReason::kCallLimitReached;
    case journal::RejectReason::kProgramEnded:
    case journal::RejectReason::kParentEnded:
      return NotRunReason::kProgramEnded;
    case journal::RejectReason::kUnknownProgram:
    case journal::RejectReason::kUnknownParent:
      return NotRunReason::kUnknownProgram;
    case journal::RejectReason::kKeyConflict:
    case journal::RejectReason::kKeyExists:
      return NotRunReason::kKeyConflict;
    case journal::RejectReason::kUndecided:
      return NotRunReason::kLogUnavailable;
    case journal::RejectReason::kOutdated:
      // The entry sends the call again, and the home decides on the newer state.
      return NotRunReason::kOwnerUnavailable;
    default:
      return NotRunReason::kInvalidRequest;
  }
}

}  // namespace

void HomeImpl::OnVerdict(AppendId append, const journal::Verdict& verdict) {
  const auto found = pending_appends_.find(append);
  if (found == pending_appends_.end()) {
    return;
  }
  const auto entry = programs_.find(found->second);
  pending_appends_.erase(found);
  if (entry == programs_.end() || !entry->second.running.has_value() ||
      entry->second.running->append != append) {
    return;
  }
  std::visit(Overloaded{
                 [&](const journal::Accepted&) { OnAccepted(entry); },
                 [&](const journal::Duplicate&) { OnAccepted(entry); },
                 [&](const journal::Rejected& rejected) { OnRejected(entry, rejected); },
             },
             verdict);
}

void HomeImpl::OnAccepted(Entry entry) {
  RunningCall& running = *entry->second.running;
  switch (running.phase) {
    case Phase::kAuthorising:
      if (running.expired) {
        return Finish(entry, NotRun{NotRunReason::kDeadlineExceeded}, "", {});
      }
      return Dispatch(entry);
    case Phase::kIntending:
      if (running.expired) {
        // The callers were told that the call did not run, so the intent must not be carried out.
        journal::EffectFinished record;
        record.program = entry->first;
        record.epoch = running.epoch;
        record.key = running.call.request.key;
        record.outcome = NotRun{NotRunReason::kDeadlineExceeded};
        return Append(running, Phase::kWithdrawing, std::move(record));
      }
      return Dispatch(entry);
    case Phase::kCreating:
      return Finish(entry, Completed{}, CreatedAsJson(entry->first), {});
    case Phase::kEnding:
      return Finish(entry, Completed{}, "{}", {});
    case Phase::kCharging:
    case Phase::kWithdrawing:
    case Phase::kCommitting:
      return Finish(entry, running.outcome, running.body, running.usage);
    case Phase::kDispatching:
      return;
  }
}

void HomeImpl::OnRejected(Entry entry, const journal::Rejected& rejected) {
  RunningCall& running = *entry->second.running;
  switch (rejected.reason) {
    case journal::RejectReason::kStaleEpoch:
    case journal::RejectReason::kNotOwner:
      return Drop(entry);
    case journal::RejectReason::kProgramExists:
      return Finish(entry, Completed{}, CreatedAsJson(entry->first), {});
    case journal::RejectReason::kProgramEnded:
      if (running.phase == Phase::kEnding) {
        return Finish(entry, Completed{}, "{}", {});
      }
      break;
    default:
      break;
  }
  if (running.phase == Phase::kAuthorising && running.may_have_run) {
    return Append(running, Phase::kCharging,
                  MakeCharge(running, running.worst_case(), TokenCount()));
  }
  if (running.phase == Phase::kCommitting || running.phase == Phase::kCharging) {
    return Finish(entry, Unknown{UnknownReason::kOwnerChanged}, "", {});
  }
  const bool changes_program = running.phase == Phase::kCreating || running.phase == Phase::kEnding;
  if (changes_program && rejected.reason == journal::RejectReason::kUndecided) {
    return Finish(entry, Unknown{UnknownReason::kLogUnavailable}, "", {});
  }
  const NotRunReason reason = ToNotRunReason(rejected.reason);
  Finish(entry, NotRun{reason, RetryDelay(reason)}, "", {});
}

}  // namespace acaciaspring::program
