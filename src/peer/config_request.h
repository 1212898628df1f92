#ifndef CLEMENTINERILL_PEER_CONFIG_REQUEST_H_
#define CLEMENTINERILL_PEER_CONFIG_REQUEST_H_

#include <cstdint>

namespace clementinerill {

/// @brief Requests a configuration newer than `after_version_`.
struct ConfigRequest {
  uint64_t after_version_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_CONFIG_REQUEST_H_
