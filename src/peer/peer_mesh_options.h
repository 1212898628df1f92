#ifndef CLEMENTINERILL_PEER_PEER_MESH_OPTIONS_H_
#define CLEMENTINERILL_PEER_PEER_MESH_OPTIONS_H_

#include <chrono>
#include <cstddef>

#include "base/time.h"
#include "peer/hello.h"

namespace clementinerill {

/// @brief Settings of a `PeerMesh`.
struct PeerMeshOptions {
  /// Sent to every peer. `address_` and `port_` are also the listen address;
  /// port 0 chooses a free port, which then replaces it.
  Hello self_;
  /// A link without a frame for this long is closed and opened again. It also
  /// limits the opening handshake and the wait for the peer's hello.
  Duration silence_timeout_ = std::chrono::seconds(3);
  /// Bytes that may wait on one link before `Send` refuses.
  size_t max_queued_bytes_ = 8 * 1024 * 1024;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_PEER_MESH_OPTIONS_H_
