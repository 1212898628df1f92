#ifndef CLEMENTINERILL_DAEMON_FETCH_CONFIGURATION_H_
#define CLEMENTINERILL_DAEMON_FETCH_CONFIGURATION_H_

#include <cstdint>
#include <string>

#include "base/result.h"

namespace clementinerill {

/// @brief Reads the object `config/main` with its version filled in.
[[nodiscard]] Result<std::string> FetchConfiguration(const std::string& address,
                                                     uint16_t port);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_FETCH_CONFIGURATION_H_
