#include "gateway/gather_permission.h"

#include "traffic/aggregation_plan.h"

namespace clementinerill::gateway {

bool MayGatherForOthers(const traffic::FleetState& fleet,
                        const traffic::RouteRule& route,
                        const ForwardHeader& header,
                        size_t max_parts,
                        size_t parts_in_progress) {
  if (!traffic::IsAggregated(route) ||
      header.configuration_version_ != fleet.view_->configuration_->version_) {
    return false;
  }
  size_t parts = route.shards_.size();
  if (header.subset_) {
    if (header.subset_->parts_.back() >= route.shards_.size()) {
      return false;
    }
    parts = header.subset_->parts_.size();
  }
  return parts_in_progress + parts <= max_parts;
}

}  // namespace clementinerill::gateway
