#ifndef CLEMENTINERILL_GATEWAY_DAEMON_LISTS_H_
#define CLEMENTINERILL_GATEWAY_DAEMON_LISTS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mirror/daemon_record.h"

namespace clementinerill::gateway {

using DaemonMap = std::map<std::string, mirror::DaemonRecord>;

[[nodiscard]] std::vector<mirror::DaemonRecord> RecordsOf(
    const DaemonMap& daemons);

/// @brief Returns the names of the daemons; `previous` itself if it has them.
[[nodiscard]] std::shared_ptr<const std::vector<std::string>> UpdatedNames(
    std::shared_ptr<const std::vector<std::string>> previous,
    const DaemonMap& daemons);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_DAEMON_LISTS_H_
