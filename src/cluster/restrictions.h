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

/// @brief The VM list, told apart by what the VMs run.
struct VmListSplit {
  std::vector<Member> daemons_;
  std::set<std::string> upstreams_leaving_;
};

/// @brief Tells rows of upstreams from rows of daemons.
///
/// A row whose name is that of an upstream of the configuration belongs to the
/// upstream; all others belong to daemons.
[[nodiscard]] VmListSplit SplitVmList(const std::vector<Vm>& vms,
                                      const Configuration& configuration);

/// @brief What advisories and the VM list take out of the configuration.
///
/// A failure domain is out by advisory only while the advisory is newer than
/// the generation of the domain in the configuration.
[[nodiscard]] RoutingRestrictions MakeRestrictions(
    const Configuration& configuration,
    const AdvisoryMap& advisories,
    const std::set<std::string>& upstreams_leaving);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_RESTRICTIONS_H_
