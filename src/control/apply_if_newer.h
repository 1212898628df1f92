#ifndef CLEMENTINERILL_CONTROL_APPLY_IF_NEWER_H_
#define CLEMENTINERILL_CONTROL_APPLY_IF_NEWER_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "control/apply_outcome.h"
#include "control/candidate.h"
#include "control/configuration_state.h"

namespace clementinerill {

/// @brief Applies `candidate` if its version is higher than the one in force.
///
/// An older document is ignored whatever its source, also when the store
/// returns it after a restore from a backup. A document with the same version
/// but another `change_id` is rejected and reported, since a restored store may
/// assign a version twice. Version 0 is never applied.
ApplyOutcome ApplyIfNewer(ConfigurationState& state,
                          Candidate candidate,
                          Instant now);

/// @brief Records a document that failed to parse or to validate.
///
/// The version in force is kept. The invalid version is not fetched again.
void RecordInvalid(ConfigurationState& state,
                   uint64_t version,
                   std::string reason);

/// @brief The version after which the daemon watches for changes.
///
/// Pass it to the watch on the store. It takes an invalid version into account,
/// which would otherwise complete every watch immediately.
[[nodiscard]] uint64_t WatchVersion(const ConfigurationState& state) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_APPLY_IF_NEWER_H_
