#include "control/store_schedule.h"

#include <algorithm>

#include "base/hash.h"

namespace clementinerill {
namespace {

// A number in [0, 1) derived from a hash of the daemon name and `seed`.
double HashFraction(const std::string& daemon, uint64_t seed) noexcept {
  constexpr uint64_t kSteps = uint64_t{1} << 32;
  const uint64_t step = Hash64(daemon, seed) % kSteps;
  return static_cast<double>(step) / static_cast<double>(kSteps);
}

// Scales `mean` by a factor in [0.5, 1.5) that differs for each attempt.
Duration Jitter(const ConfigurationState& state, Duration mean) noexcept {
  const auto seed = state.store_.last_attempt_->time_since_epoch().count();
  const double fraction =
      HashFraction(state.daemon_, static_cast<uint64_t>(seed));
  return Scale(mean, 0.5 + fraction);
}

Duration FailureBackoff(int failures) noexcept {
  Duration delay = std::chrono::milliseconds(250);
  for (int i = 1; i < failures && delay < kMaxStoreBackoff; ++i) {
    delay *= 2;
  }
  return std::min<Duration>(delay, kMaxStoreBackoff);
}

}  // namespace

Duration StartDelay(const std::string& daemon, int group_size) noexcept {
  const Duration window = Duration(std::chrono::seconds(1)) *
                          std::max(group_size, 1) / kStartReadsPerSecond;
  return Scale(window, HashFraction(daemon, 0));
}

Instant NextStoreCall(const ConfigurationState& state,
                      StoreRole role) noexcept {
  if (!state.store_.last_attempt_) {
    return state.started_ + StartDelay(state.daemon_, state.group_size_);
  }
  const Instant last = *state.store_.last_attempt_;
  if (state.store_.consecutive_failures_ > 0) {
    const int failures = state.store_.consecutive_failures_;
    return last + Jitter(state, FailureBackoff(failures));
  }
  return role == StoreRole::kWatch ? last : last + Jitter(state, kPollInterval);
}

}  // namespace clementinerill
