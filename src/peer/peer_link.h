#ifndef CLEMENTINERILL_PEER_PEER_LINK_H_
#define CLEMENTINERILL_PEER_PEER_LINK_H_

#include <atomic>
#include <cstddef>
#include <string>

#include "base/time.h"
#include "peer/hello.h"
#include "peer/web_socket.h"

namespace clementinerill {

/// @brief A WebSocket connection to a peer, dialed or accepted.
///
/// All members except the atomics may be used only on the mesh's thread;
/// `connection_` is set once.
struct PeerLink {
  WebSocketLink connection_;
  std::string dialed_name_;  ///< Expected peer name; empty if accepted.
  Hello hello_;              ///< Received from the peer; valid if `ready_`.
  bool open_ = false;
  bool ready_ = false;  ///< The peer's hello has been received.
  Instant opened_at_{};
  Instant last_received_{};
  Instant next_ping_{};
  std::atomic<size_t> posted_bytes_{0};    ///< Bytes posted to the thread.
  std::atomic<size_t> buffered_bytes_{0};  ///< Bytes not yet written.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_PEER_LINK_H_
