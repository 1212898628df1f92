#ifndef CLEMENTINERILL_SWEEP_QUERY_STEP_H_
#define CLEMENTINERILL_SWEEP_QUERY_STEP_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "sweep/part_answer.h"
#include "sweep/query_action.h"
#include "sweep/query_answer.h"
#include "sweep/query_policy.h"
#include "sweep/query_state.h"

namespace clementinerill {

/// @brief All actions that are due at `now`, in the order to carry them out.
///
/// Proposes attempts without regard to slots and budgets. The owner answers
/// each proposal with `RecordStart` or `RecordDecline`.
[[nodiscard]] std::vector<QueryAction> NextActions(const QueryState& query,
                                                   const QueryPolicy& policy,
                                                   Instant now);

/// @brief The next time at which `NextActions` can change without an event.
[[nodiscard]] Instant NextWake(const QueryState& query,
                               const QueryPolicy& policy,
                               Instant now) noexcept;

/// @brief Records that an attempt is being sent; returns its index.
size_t RecordStart(QueryState& query,
                   size_t part,
                   AttemptKind kind,
                   std::string upstream,
                   Instant now);

/// @brief Records that no attempt can start before `retry_at`.
void RecordDecline(QueryState& query,
                   size_t part,
                   Reason reason,
                   Instant retry_at);

/// @brief Records that no upstream can serve the part under this snapshot.
void RecordNoCandidate(QueryState& query, size_t part, Reason reason);

/// @brief Records the end of an attempt.
///
/// An answer under another snapshot than the pinned one is never merged and
/// counts as `kSnapshotGone`.
void RecordResult(QueryState& query,
                  size_t part,
                  size_t attempt,
                  AttemptResult result,
                  std::optional<PartAnswer> answer,
                  Instant now);

/// @brief Records that cancellation of an attempt was requested.
void RecordCancel(QueryState& query, size_t part, size_t attempt) noexcept;

/// @brief Starts anew under `snapshot`, dropping every answer so far.
///
/// Attempts still running must have been handed over to the owner, which
/// ignores their results.
void Restart(QueryState& query, const Snapshot& snapshot);

/// @brief The answer as things stand; final once `kFinish` was proposed.
[[nodiscard]] QueryAnswer BuildAnswer(const QueryState& query);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_QUERY_STEP_H_
