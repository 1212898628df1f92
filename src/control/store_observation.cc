#include "control/store_observation.h"

namespace clementinerill {
namespace {

void RecordResponse(StoreAccessState& store, Instant now) noexcept {
  store.last_response_ = now;
  store.failing_since_.reset();
  store.consecutive_failures_ = 0;
}

}  // namespace

void RecordStoreAttempt(ConfigurationState& state, Instant now) noexcept {
  state.store_.last_attempt_ = now;
}

void RecordStoreResponse(ConfigurationState& state,
                         uint64_t version,
                         Instant now) noexcept {
  RecordResponse(state.store_, now);
  state.store_.configuration_absent_ = false;
  state.store_.version_ = version;
  state.store_.behind_ = version < CurrentVersion(state);
}

void RecordStoreUnchanged(ConfigurationState& state, Instant now) noexcept {
  RecordResponse(state.store_, now);
}

void RecordConfigurationAbsent(ConfigurationState& state,
                               Instant now) noexcept {
  RecordResponse(state.store_, now);
  state.store_.configuration_absent_ = true;
  state.store_.version_ = 0;
  state.store_.behind_ = MayServe(state);
}

void RecordStoreFailure(ConfigurationState& state, Instant now) noexcept {
  if (!state.store_.failing_since_) {
    state.store_.failing_since_ = now;
  }
  ++state.store_.consecutive_failures_;
}

}  // namespace clementinerill
