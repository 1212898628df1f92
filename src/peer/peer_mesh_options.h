#ifndef CLEMENTINERILL_PEER_PEER_MESH_OPTIONS_H_
#define CLEMENTINERILL_PEER_PEER_MESH_OPTIONS_H_

#include <chrono>
#include <cstddef>

#include "base/time.h"
#include "peer/hello.h"

namespace clementinerill {

/// @brief Settings of a `PeerMesh`.
struct PeerMeshOptions {
  /// Hello sent to every peer. `address_` and `port_` are also the listen
  /// address; port 0 is replaced by the ephemeral port that was bound.
  Hello self_;
  /// A link on which no frame arrives for this long is closed and redialed.
  /// Also limits the opening handshake and the wait for the peer's hello.
  Duration silence_timeout_ = std::chrono::seconds(3);
  /// Maximum bytes queued on one link; `Send` returns false above it.
  size_t max_queued_bytes_ = 8 * 1024 * 1024;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_PEER_MESH_OPTIONS_H_
