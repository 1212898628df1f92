#ifndef CLEMENTINERILL_DAEMON_STATIC_SEATS_H_
#define CLEMENTINERILL_DAEMON_STATIC_SEATS_H_

#include <map>
#include <string>
#include <vector>

#include "config/configuration.h"

namespace clementinerill {

/// @brief Seats of `self` for each pool when all members are live.
[[nodiscard]] std::map<std::string, std::vector<int>> StaticSeats(
    const Configuration& configuration,
    const std::vector<std::string>& members,
    const std::string& self);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_STATIC_SEATS_H_
