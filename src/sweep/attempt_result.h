#ifndef CLEMENTINERILL_SWEEP_ATTEMPT_RESULT_H_
#define CLEMENTINERILL_SWEEP_ATTEMPT_RESULT_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief The result of an attempt.
enum class AttemptResult {
  kRunning,
  kAnswered,
  kShed,           ///< The upstream rejected the request and did not run it.
  kSnapshotGone,   ///< The upstream lacks the snapshot and did not run it.
  kNotSent,        ///< No byte of the request left this process.
  kBroken,         ///< The connection failed after the first byte.
  kTimedOut,       ///< No response before the deadline of the attempt.
  kCancelled,      ///< The upstream confirmed the cancellation.
  kMalformed,      ///< The response could not be parsed.
  kUpstreamError,  ///< The upstream returned another error status.
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

/// @brief Whether it is certain that the upstream did not run the request.
[[nodiscard]] constexpr bool IsNotRun(AttemptResult result) noexcept {
  return result == AttemptResult::kShed ||
         result == AttemptResult::kSnapshotGone ||
         result == AttemptResult::kNotSent;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_ATTEMPT_RESULT_H_
