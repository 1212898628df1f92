#include "control/apply_if_newer.h"

#include <algorithm>
#include <utility>

namespace clementinerill {
namespace {

ApplyOutcome CompareWithCurrent(const ConfigurationState& state,
                                const Configuration& proposed) {
  const uint64_t current = CurrentVersion(state);
  if (proposed.version_ > current) {
    return ApplyOutcome::kApplied;
  }
  if (proposed.version_ < current || current == 0) {
    return ApplyOutcome::kOlder;
  }
  return proposed.change_id_ == state.current_->change_id_
             ? ApplyOutcome::kSame
             : ApplyOutcome::kDivergent;
}

}  // namespace

ApplyOutcome ApplyIfNewer(ConfigurationState& state,
                          Candidate candidate,
                          Instant now) {
  const ApplyOutcome outcome =
      CompareWithCurrent(state, *candidate.configuration_);
  if (outcome == ApplyOutcome::kDivergent) {
    state.divergent_version_ = candidate.configuration_->version_;
  }
  if (outcome != ApplyOutcome::kApplied) {
    return outcome;
  }
  state.current_ = std::move(candidate.configuration_);
  state.source_ = candidate.source_;
  state.origin_ = std::move(candidate.origin_);
  state.applied_ = now;
  state.last_peer_request_.reset();
  state.peer_request_count_ = 0;
  return outcome;
}

void RecordInvalid(ConfigurationState& state,
                   uint64_t version,
                   std::string reason) {
  if (version < state.invalid_version_) {
    return;
  }
  state.invalid_version_ = version;
  state.invalid_reason_ = std::move(reason);
}

uint64_t WatchVersion(const ConfigurationState& state) noexcept {
  return std::max(CurrentVersion(state), state.invalid_version_);
}

}  // namespace clementinerill
