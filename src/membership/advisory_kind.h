#ifndef CLEMENTINERILL_MEMBERSHIP_ADVISORY_KIND_H_
#define CLEMENTINERILL_MEMBERSHIP_ADVISORY_KIND_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief What an advisory takes out of service. Each kind only reduces
/// the exposure to a fault.
enum class AdvisoryKind {
  kFailureDomainOut,
  kVersionStopped,
  kReplicaCold,
  kUpstreamLeaving,
};

inline constexpr std::array<NameEntry<AdvisoryKind>, 4> kAdvisoryKindNames = {{
    {AdvisoryKind::kFailureDomainOut, "failure_domain_out"},
    {AdvisoryKind::kVersionStopped, "version_stopped"},
    {AdvisoryKind::kReplicaCold, "replica_cold"},
    {AdvisoryKind::kUpstreamLeaving, "upstream_leaving"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_ADVISORY_KIND_H_
