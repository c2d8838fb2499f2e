#ifndef ACACIASPRING_SRC_JOURNAL_PROGRAM_RULES_H_
#define ACACIASPRING_SRC_JOURNAL_PROGRAM_RULES_H_

#include "acaciaspring/journal.h"

namespace acaciaspring::journal {

/// @brief Rules of the records that change a single live program. The caller has checked that the
/// writer owns the shard.
Verdict ApplyRule(Program& program, const SpendAuthorised& record);
Verdict ApplyRule(Program& program, const TurnCommitted& record);
Verdict ApplyRule(Program& program, const ToolCallCommitted& record);
Verdict ApplyRule(Program& program, const EffectIntended& record);
Verdict ApplyRule(Program& program, const EffectFinished& record);

/// @brief Counts the authorised amount as spent.
void ChargeAuthorisedAmount(Program& program);
/// @brief Drops the history and keeps identity and totals.
void ClearHistory(Program& program);

}  // namespace acaciaspring::journal

#endif  // ACACIASPRING_SRC_JOURNAL_PROGRAM_RULES_H_
