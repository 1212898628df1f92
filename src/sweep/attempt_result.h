#ifndef CLEMENTINERILL_SWEEP_ATTEMPT_RESULT_H_
#define CLEMENTINERILL_SWEEP_ATTEMPT_RESULT_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief How one attempt ended.
enum class AttemptResult {
  kRunning,
  kAnswered,
  kShed,           ///< The upstream refused before running it.
  kSnapshotGone,   ///< The upstream lacks the snapshot and did not run it.
  kNotSent,        ///< No byte of the request left this process.
  kBroken,         ///< The connection failed after the first byte.
  kTimedOut,       ///< No answer before the deadline of the attempt.
  kCancelled,      ///< The upstream confirmed the cancellation.
  kMalformed,      ///< The answer could not be understood.
  kUpstreamError,  ///< The upstream answered with another error status.
};

inline constexpr std::array<NameEntry<AttemptResult>, 10> kAttemptResultNames =
    {{
        {AttemptResult::kRunning, "running"},
        {AttemptResult::kAnswered, "answered"},
        {AttemptResult::kShed, "shed"},
        {AttemptResult::kSnapshotGone, "snapshot_gone"},
        {AttemptResult::kNotSent, "not_sent"},
        {AttemptResult::kBroken, "broken"},
        {AttemptResult::kTimedOut, "timed_out"},
        {AttemptResult::kCancelled, "cancelled"},
        {AttemptResult::kMalformed, "malformed"},
        {AttemptResult::kUpstreamError, "upstream_error"},
    }};

/// @brief Whether the upstream certainly did not run the request.
[[nodiscard]] constexpr bool IsNotRun(AttemptResult result) noexcept {
  return result == AttemptResult::kShed ||
         result == AttemptResult::kSnapshotGone ||
         result == AttemptResult::kNotSent;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_ATTEMPT_RESULT_H_
