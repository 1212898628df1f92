#ifndef CLEMENTINERILL_CLUSTER_RESTRICTIONS_H_
#define CLEMENTINERILL_CLUSTER_RESTRICTIONS_H_

#include <set>
#include <string>
#include <vector>

#include "config/configuration.h"
#include "membership/advisory_map.h"
#include "membership/member.h"
#include "platform/vm.h"
#include "routing/build_routing_table.h"

namespace clementinerill {

/// @brief The VM list, split into daemons and upstreams.
struct VmListSplit {
  std::vector<Member> daemons_;
  std::set<std::string> upstreams_leaving_;
};

/// @brief Splits the VM list into daemons and upstreams.
///
/// A VM with the name of an upstream in the configuration is that upstream; all
/// others are daemons.
[[nodiscard]] VmListSplit SplitVmList(const std::vector<Vm>& vms,
                                      const Configuration& configuration);

/// @brief Collects the upstreams and failure domains of the configuration that
/// advisories or the VM list exclude from routing.
///
/// An advisory excludes a failure domain only while its generation is higher
/// than the generation of the domain in the configuration.
[[nodiscard]] RoutingRestrictions MakeRestrictions(
    const Configuration& configuration,
    const AdvisoryMap& advisories,
    const std::set<std::string>& upstreams_leaving);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_RESTRICTIONS_H_
