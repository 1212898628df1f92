#include "control/configuration_status.h"

#include <algorithm>

namespace clementinerill {
namespace {

ConfigurationPhase PhaseOf(const ConfigurationState& state) noexcept {
  if (MayServe(state)) {
    return ConfigurationPhase::kInForce;
  }
  return state.store_.configuration_absent_ ? ConfigurationPhase::kNoneYet
                                            : ConfigurationPhase::kWaiting;
}

StoreHealth HealthOf(const ConfigurationState& state, Instant now) noexcept {
  const StoreAccessState& store = state.store_;
  if (store.failing_since_ && now - *store.failing_since_ >= kOutageThreshold) {
    return StoreHealth::kOutage;
  }
  if (!store.last_response_) {
    return StoreHealth::kNotAsked;
  }
  const bool is_behind =
      store.behind_ && state.source_ != ConfigurationSource::kStartUp;
  return is_behind ? StoreHealth::kBehind : StoreHealth::kAvailable;
}

std::vector<std::string> ProblemsOf(const ConfigurationState& state,
                                    const ConfigurationStatus& status) {
  std::vector<std::string> problems;
  const std::string current = std::to_string(CurrentVersion(state));
  if (status.store_ == StoreHealth::kBehind) {
    problems.push_back("the store last answered with version " +
                       std::to_string(state.store_.version_) +
                       ", below version " + current + " in force");
  }
  if (state.invalid_version_ > CurrentVersion(state)) {
    problems.push_back("version " + std::to_string(state.invalid_version_) +
                       " is invalid: " + state.invalid_reason_);
  }
  if (state.divergent_version_ != 0 &&
      state.divergent_version_ == CurrentVersion(state)) {
    problems.push_back("version " + current +
                       " exists with two different contents");
  }
  return problems;
}

}  // namespace

ConfigurationStatus DescribeState(const ConfigurationState& state,
                                  const std::vector<PeerVersion>& peers,
                                  Instant now) {
  ConfigurationStatus status;
  status.phase_ = PhaseOf(state);
  if (MayServe(state)) {
    status.version_ = state.current_->version_;
    status.change_id_ = state.current_->change_id_;
    status.source_ = state.source_;
    status.age_ = now - state.applied_;
  }
  status.store_ = HealthOf(state, now);
  if (status.store_ == StoreHealth::kOutage) {
    status.outage_ = now - *state.store_.failing_since_;
  }
  if (state.store_.last_response_) {
    status.staleness_ = now - *state.store_.last_response_;
  }
  status.newest_known_version_ =
      std::max(status.version_, state.store_.version_);
  for (const PeerVersion& peer : peers) {
    status.newest_known_version_ =
        std::max(status.newest_known_version_, peer.version_);
  }
  status.problems_ = ProblemsOf(state, status);
  return status;
}

}  // namespace clementinerill
