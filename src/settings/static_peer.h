#ifndef CLEMENTINERILL_SETTINGS_STATIC_PEER_H_
#define CLEMENTINERILL_SETTINGS_STATIC_PEER_H_

#include <string>

#include "settings/endpoint.h"

namespace clementinerill {

/// @brief A daemon known before the platform has answered.
struct StaticPeer {
  std::string name_;
  Endpoint endpoint_;  ///< The `peer_listen` of that daemon.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_STATIC_PEER_H_
