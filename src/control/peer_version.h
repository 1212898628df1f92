#ifndef CLEMENTINERILL_CONTROL_PEER_VERSION_H_
#define CLEMENTINERILL_CONTROL_PEER_VERSION_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief The configuration version in the last heartbeat of a peer.
struct PeerVersion {
  std::string peer_;
  uint64_t version_ = 0;  ///< 0 when the peer has no configuration.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_PEER_VERSION_H_
