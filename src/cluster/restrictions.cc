#include "cluster/restrictions.h"

#include <utility>

namespace clementinerill {
namespace {

std::set<std::string> UpstreamNames(const Configuration& configuration) {
  std::set<std::string> names;
  for (const Service& service : configuration.services_) {
    for (const Upstream& upstream : service.upstreams_) {
      names.insert(upstream.name_);
    }
  }
  return names;
}

}  // namespace

VmListSplit SplitVmList(const std::vector<Vm>& vms,
                        const Configuration& configuration) {
  const std::set<std::string> upstreams = UpstreamNames(configuration);
  VmListSplit split;
  for (const Vm& vm : vms) {
    const bool leaving = vm.state_ == VmState::kLeaving;
    if (upstreams.count(vm.name_) == 0) {
      Member member;
      member.name_ = vm.name_;
      member.address_ = vm.address_;
      member.listed_ = true;
      member.leaving_ = leaving;
      split.daemons_.push_back(std::move(member));
    } else if (leaving) {
      split.upstreams_leaving_.insert(vm.name_);
    }
  }
  return split;
}

RoutingRestrictions MakeRestrictions(
    const Configuration& configuration,
    const AdvisoryMap& advisories,
    const std::set<std::string>& upstreams_leaving) {
  RoutingRestrictions restrictions;
  restrictions.upstreams_leaving_ = upstreams_leaving;
  for (const auto& [key, advisory] : advisories.entries_) {
    if (!advisory.active_) {
      continue;
    }
    if (advisory.kind_ == AdvisoryKind::kUpstreamLeaving) {
      restrictions.upstreams_leaving_.insert(advisory.subject_);
    }
    const FailureDomain* domain =
        FindFailureDomain(configuration, advisory.subject_);
    const bool is_newer =
        domain != nullptr && advisory.generation_ > domain->generation_;
    if (advisory.kind_ == AdvisoryKind::kFailureDomainOut && is_newer) {
      restrictions.failure_domains_out_.insert(advisory.subject_);
    }
  }
  return restrictions;
}

}  // namespace clementinerill
