#ifndef CLEMENTINERILL_GATEWAY_DAEMON_LISTS_H_
#define CLEMENTINERILL_GATEWAY_DAEMON_LISTS_H_

#include <map>
#include <string>
#include <vector>

#include "mirror/daemon_record.h"
#include "traffic/aggregation_plan.h"

namespace clementinerill::gateway {

using DaemonMap = std::map<std::string, mirror::DaemonRecord>;

[[nodiscard]] std::vector<mirror::DaemonRecord> RecordsOf(
    const DaemonMap& daemons);

[[nodiscard]] std::vector<std::string> NamesOf(const DaemonMap& daemons);

/// @brief Returns the daemons that gather queries for others.
[[nodiscard]] std::vector<traffic::Aggregator> AggregatorsOf(
    const DaemonMap& daemons);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_DAEMON_LISTS_H_
