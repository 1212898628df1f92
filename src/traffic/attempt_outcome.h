#ifndef CLEMENTINERILL_TRAFFIC_ATTEMPT_OUTCOME_H_
#define CLEMENTINERILL_TRAFFIC_ATTEMPT_OUTCOME_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill::traffic {

/// @brief How one request to one replica ended.
enum class AttemptOutcome {
  kAnswered,     ///< A complete response that reports no failure.
  kFailed,       ///< The replica ran the request and reported a failure.
  kShed,         ///< The replica refused the request before running it.
  kMisdirected,  ///< Another process has the address; not run.
  kNotSent,      ///< No byte of the request was sent; not run.
  kBroken,       ///< Connection closed without a response; may have run.
  kGarbled,      ///< Bytes that are no response to the request; may have run.
  kAbandoned,    ///< Deadline passed without a response; may have run.
  kCancelled,    ///< Caller disconnected before a response; may have run.
  kWithdrawn,    ///< Taken back before any byte was sent; not run.
  kConnectTimeout,  ///< Deadline passed before any byte was sent; not run.
};

inline constexpr std::array<NameEntry<AttemptOutcome>, 11>
    kAttemptOutcomeNames = {{
        {AttemptOutcome::kAnswered, "answered"},
        {AttemptOutcome::kFailed, "failed"},
        {AttemptOutcome::kShed, "shed"},
        {AttemptOutcome::kMisdirected, "misdirected"},
        {AttemptOutcome::kNotSent, "not_sent"},
        {AttemptOutcome::kBroken, "broken"},
        {AttemptOutcome::kGarbled, "garbled"},
        {AttemptOutcome::kAbandoned, "abandoned"},
        {AttemptOutcome::kCancelled, "cancelled"},
        {AttemptOutcome::kWithdrawn, "withdrawn"},
        {AttemptOutcome::kConnectTimeout, "connect_timeout"},
    }};

/// @brief Whether the outcome proves that no byte of the request was sent.
[[nodiscard]] constexpr bool IsUnsent(AttemptOutcome outcome) noexcept {
  return outcome == AttemptOutcome::kNotSent ||
         outcome == AttemptOutcome::kWithdrawn ||
         outcome == AttemptOutcome::kConnectTimeout;
}

/// @brief Whether the outcome proves that the replica did not run the request.
[[nodiscard]] constexpr bool IsNotRun(AttemptOutcome outcome) noexcept {
  return IsUnsent(outcome) || outcome == AttemptOutcome::kShed ||
         outcome == AttemptOutcome::kMisdirected;
}

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_ATTEMPT_OUTCOME_H_
