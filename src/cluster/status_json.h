#ifndef CLEMENTINERILL_CLUSTER_STATUS_JSON_H_
#define CLEMENTINERILL_CLUSTER_STATUS_JSON_H_

#include <string>
#include <vector>

#include "base/time.h"
#include "control/configuration_status.h"
#include "membership/advisory_map.h"
#include "membership/group_state.h"

namespace clementinerill {

/// @brief Formats the state of the control plane as JSON for operators.
[[nodiscard]] std::string StatusJson(const std::string& daemon,
                                     const ConfigurationStatus& configuration,
                                     const std::vector<GroupState>& groups,
                                     const AdvisoryMap& advisories,
                                     Instant now);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_STATUS_JSON_H_
