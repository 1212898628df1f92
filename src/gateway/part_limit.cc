#include "gateway/part_limit.h"

#include <algorithm>

#include "gateway/listener_limits.h"
#include "traffic/aggregation_plan.h"

namespace clementinerill::gateway {

// Each part may need a connection of its own. Half of the descriptors that
// listeners leave are for the queries of this daemon's callers.
size_t MaxPartsForOthers(const GatewayOptions& options) {
  const uint64_t by_descriptors = DescriptorLimit(options) / 16 * 3;
  return std::min(traffic::MaxPartsInProgress(options.capacity_),
                  static_cast<size_t>(by_descriptors));
}

}  // namespace clementinerill::gateway
