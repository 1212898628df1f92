#ifndef CLEMENTINERILL_CONTROL_STORE_OBSERVATION_H_
#define CLEMENTINERILL_CONTROL_STORE_OBSERVATION_H_

#include <cstdint>

#include "base/time.h"
#include "control/configuration_state.h"

namespace clementinerill {

/// @brief Records that a call to the store has started.
void RecordStoreAttempt(ConfigurationState& state, Instant now) noexcept;

/// @brief Records a response with a document of `version`.
///
/// The document itself goes to `ApplyIfNewer` or `RecordInvalid`.
void RecordStoreResponse(ConfigurationState& state,
                         uint64_t version,
                         Instant now) noexcept;

/// @brief Records a watch that ended without a newer version.
void RecordStoreUnchanged(ConfigurationState& state, Instant now) noexcept;

/// @brief Records a response that the store holds no configuration.
///
/// A configuration in force is kept.
void RecordConfigurationAbsent(ConfigurationState& state, Instant now) noexcept;

/// @brief Records a call without a usable response.
void RecordStoreFailure(ConfigurationState& state, Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_STORE_OBSERVATION_H_
