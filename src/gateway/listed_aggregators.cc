#include "gateway/listed_aggregators.h"

namespace clementinerill::gateway {

std::vector<traffic::Aggregator> ListedAggregators(
    const std::map<std::string, mirror::DaemonRecord>& daemons) {
  std::vector<traffic::Aggregator> aggregators;
  for (const auto& [name, record] : daemons) {
    if (!record.forward_address_.empty()) {
      aggregators.push_back({name, record.failure_domain_, record.region_,
                             record.forward_address_, record.forward_port_,
                             record.capacity_});
    }
  }
  return aggregators;
}

}  // namespace clementinerill::gateway
