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

/// @brief Returns the actions due at `now`, in execution order.
///
/// Attempts are proposed without regard to slots and budgets. The owner of the
/// query reports for each one whether it was started (`RecordStart`) or not
/// (`RecordDecline`, `RecordNoCandidate`).
[[nodiscard]] std::vector<QueryAction> NextActions(const QueryState& query,
                                                   const QueryPolicy& policy,
                                                   Instant now);

/// @brief Returns the next time at which the result of `NextActions` can change
/// without a new event.
[[nodiscard]] Instant NextWake(const QueryState& query,
                               const QueryPolicy& policy,
                               Instant now) noexcept;

/// @brief Records that an attempt is being sent; returns its index.
size_t RecordStart(QueryState& query,
                   size_t part,
                   AttemptKind kind,
                   std::string upstream,
                   Instant now);

/// @brief Records that an attempt was not started; none is proposed for the
/// part before `retry_at`.
void RecordDecline(QueryState& query,
                   size_t part,
                   Reason reason,
                   Instant retry_at);

/// @brief Records that no further attempt is to be started for the part at the
/// current snapshot, and why.
void RecordNoCandidate(QueryState& query, size_t part, Reason reason);

/// @brief Records the result of an attempt.
///
/// An answer from a snapshot other than the pinned one is never merged; the
/// attempt is recorded as `kSnapshotGone`.
void RecordResult(QueryState& query,
                  size_t part,
                  size_t attempt,
                  AttemptResult result,
                  std::optional<PartAnswer> answer,
                  Instant now);

/// @brief Records that cancellation of an attempt was requested.
void RecordCancel(QueryState& query, size_t part, size_t attempt) noexcept;

/// @brief Restarts the query at `snapshot` and discards all answers so far.
///
/// The attempts are removed from the state. The owner keeps track of those that
/// are still running and must ignore their results.
void Restart(QueryState& query, const Snapshot& snapshot);

/// @brief Builds the answer from the parts answered so far.
///
/// The answer is final once `NextActions` has returned `kFinish`.
[[nodiscard]] QueryAnswer BuildAnswer(const QueryState& query);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_QUERY_STEP_H_
