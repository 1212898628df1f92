#ifndef CLEMENTINERILL_SETTINGS_STATIC_PEER_H_
#define CLEMENTINERILL_SETTINGS_STATIC_PEER_H_

#include <string>

#include "settings/endpoint.h"

namespace clementinerill {

/// @brief A peer from the settings file, known at start-up before the platform
/// has responded.
struct StaticPeer {
  std::string name_;
  Endpoint endpoint_;  ///< The `peer_listen` setting of that daemon.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_STATIC_PEER_H_
