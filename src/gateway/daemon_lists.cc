#include "gateway/daemon_lists.h"

namespace clementinerill::gateway {

std::vector<mirror::DaemonRecord> RecordsOf(const DaemonMap& daemons) {
  std::vector<mirror::DaemonRecord> records;
  for (const auto& [name, record] : daemons) {
    records.push_back(record);
  }
  return records;
}

std::vector<std::string> NamesOf(const DaemonMap& daemons) {
  std::vector<std::string> names;
  for (const auto& [name, record] : daemons) {
    names.push_back(name);
  }
  return names;
}

std::vector<traffic::Aggregator> AggregatorsOf(const DaemonMap& daemons) {
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
