#include "gateway/daemon_lists.h"

#include <utility>

namespace clementinerill::gateway {

std::vector<mirror::DaemonRecord> RecordsOf(const DaemonMap& daemons) {
  std::vector<mirror::DaemonRecord> records;
  for (const auto& [name, record] : daemons) {
    records.push_back(record);
  }
  return records;
}

std::shared_ptr<const std::vector<std::string>> UpdatedNames(
    std::shared_ptr<const std::vector<std::string>> previous,
    const DaemonMap& daemons) {
  std::vector<std::string> names;
  for (const auto& [name, record] : daemons) {
    names.push_back(name);
  }
  if (previous && *previous == names) {
    return previous;
  }
  return std::make_shared<const std::vector<std::string>>(std::move(names));
}

}  // namespace clementinerill::gateway
