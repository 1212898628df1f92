#include "logging/rate_limit.h"

#include <utility>

namespace clementinerill {
namespace {

bool PeriodEnded(const LogRateLimit& limit,
                 const LogRateState& state,
                 Instant now) noexcept {
  return !state.period_start_ || now - *state.period_start_ >= limit.period_;
}

}  // namespace

LogRateDecision AdmitLogLine(const LogRateLimit& limit,
                             LogRateState& state,
                             Instant now) noexcept {
  if (PeriodEnded(limit, state, now)) {
    state.period_start_ = now;
    state.written_ = 0;
  }
  if (state.written_ >= limit.max_lines_) {
    ++state.suppressed_;
    return {false, 0};
  }
  ++state.written_;
  return {true, std::exchange(state.suppressed_, 0)};
}

uint64_t TakeSuppressedCount(const LogRateLimit& limit,
                             LogRateState& state,
                             Instant now) noexcept {
  if (!PeriodEnded(limit, state, now)) {
    return 0;
  }
  return std::exchange(state.suppressed_, 0);
}

}  // namespace clementinerill
