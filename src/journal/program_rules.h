#ifndef ACACIASPRING_SRC_JOURNAL_PROGRAM_RULES_H_
#define ACACIASPRING_SRC_JOURNAL_PROGRAM_RULES_H_

#include "acaciaspring/journal.h"

namespace acaciaspring::journal {

/// @brief Applies a record that changes a single live program. The caller has checked that the
/// writer owns the shard.
Verdict ApplyRule(Program& program, const SpendAuthorised& record);
Verdict ApplyRule(Program& program, const TurnCommitted& record);
Verdict ApplyRule(Program& program, const ToolCallCommitted& record);
Verdict ApplyRule(Program& program, const EffectIntended& record);
Verdict ApplyRule(Program& program, const EffectFinished& record);

/// @brief Adds the authorised amount to the spent tokens and clears it.
void ChargeAuthorisedAmount(Program& program);
/// @brief Drops the history and keeps identity and totals.
void ClearHistory(Program& program);

}  // namespace acaciaspring::journal

#endif  // ACACIASPRING_SRC_JOURNAL_PROGRAM_RULES_H_
