#ifndef CLEMENTINERILL_PEER_PEER_CALLBACKS_H_
#define CLEMENTINERILL_PEER_PEER_CALLBACKS_H_

#include <functional>
#include <string>

#include "peer/hello.h"
#include "peer/message.h"

namespace clementinerill {

/// @brief Event callbacks of a `PeerMesh`.
///
/// Called on the mesh's thread, one at a time. A callback must not block: while
/// it runs, no messages are read from any peer, and peers close links on which
/// they receive nothing. It may call any member of the mesh except `Stop`.
struct PeerCallbacks {
  /// A message has arrived from the peer `name`; never a `Hello`.
  std::function<void(const std::string& name, Message message)> on_message_;
  /// The first link to a peer is ready, or the peer has restarted.
  std::function<void(const Hello& hello)> on_peer_up_;
  /// The last link to a peer has closed.
  std::function<void(const std::string& name)> on_peer_down_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_PEER_CALLBACKS_H_
