#ifndef CLEMENTINERILL_CONTROL_APPLY_IF_NEWER_H_
#define CLEMENTINERILL_CONTROL_APPLY_IF_NEWER_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "control/apply_outcome.h"
#include "control/candidate.h"
#include "control/configuration_state.h"

namespace clementinerill {

/// @brief Applies `candidate` if its version is above the one in force.
///
/// An older document is ignored whatever its source, also when the store
/// returns it after it was restored from a backup. A document with the same
/// version but another `change_id` is kept out and reported, since a restored
/// store may assign a version twice. Version 0 is never applied.
ApplyOutcome ApplyIfNewer(ConfigurationState& state,
                          Candidate candidate,
                          Instant now);

/// @brief Records a document that could not be parsed or checked.
///
/// The version in force stays. The same version is not fetched again.
void RecordInvalid(ConfigurationState& state,
                   uint64_t version,
                   std::string reason);

/// @brief The version above which the daemon wants to hear of changes.
///
/// Pass it to the watch of the store. It covers an invalid document, which
/// would otherwise end every watch at once.
[[nodiscard]] uint64_t WatchVersion(const ConfigurationState& state) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_APPLY_IF_NEWER_H_
