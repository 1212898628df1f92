#ifndef CLEMENTINERILL_GATEWAY_LISTED_AGGREGATORS_H_
#define CLEMENTINERILL_GATEWAY_LISTED_AGGREGATORS_H_

#include <map>
#include <string>
#include <vector>

#include "mirror/daemon_record.h"
#include "traffic/traffic_view.h"

namespace clementinerill::gateway {

/// @brief Returns the daemons that gather queries for others.
[[nodiscard]] std::vector<traffic::Aggregator> ListedAggregators(
    const std::map<std::string, mirror::DaemonRecord>& daemons);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_LISTED_AGGREGATORS_H_
