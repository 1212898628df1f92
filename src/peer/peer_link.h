#ifndef CLEMENTINERILL_PEER_PEER_LINK_H_
#define CLEMENTINERILL_PEER_PEER_LINK_H_

#include <atomic>
#include <cstddef>
#include <string>

#include "base/time.h"
#include "peer/hello.h"
#include "peer/web_socket.h"

namespace clementinerill {

/// @brief One WebSocket connection, in either direction.
///
/// All members but the atomics belong to the mesh's thread; `connection_` is
/// set once.
struct PeerLink {
  WebSocketLink connection_;
  std::string dialed_;  ///< Name expected from the peer; empty when accepted.
  Hello hello_;         ///< Of the peer, once ready.
  bool open_ = false;
  bool ready_ = false;  ///< The peer's hello has arrived.
  Instant opened_{};
  Instant last_heard_{};
  Instant next_ping_{};
  std::atomic<size_t> posted_{0};    ///< Bytes on their way to the thread.
  std::atomic<size_t> buffered_{0};  ///< Bytes not yet written.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_PEER_LINK_H_
