#ifndef CLEMENTINERILL_PEER_PEER_MESH_H_
#define CLEMENTINERILL_PEER_PEER_MESH_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "peer/peer_callbacks.h"
#include "peer/peer_mesh_options.h"

namespace clementinerill {

/// @brief WebSocket links to other daemons, on a thread of its own.
///
/// Accepts links and dials the peers it was told to connect to; a link that
/// closes or falls silent is dialed again with backoff. All members but `Stop`
/// and the destructor may be called from any thread, also from callbacks.
class PeerMesh {
 public:
  /// Starts listening. Errors: the address is malformed or in use.
  [[nodiscard]] static Result<std::unique_ptr<PeerMesh>> Start(
      PeerMeshOptions options,
      PeerCallbacks callbacks);

  ~PeerMesh();
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  /// The port it listens on.
  [[nodiscard]] uint16_t Port() const noexcept;

  /// Keeps a link to the peer, unless the peer already keeps one to this
  /// daemon. A later call replaces the address for the next attempt.
  void Connect(const std::string& name,
               const std::string& address,
               uint16_t port);

  /// Stops dialing the peer and closes its links.
  void Disconnect(const std::string& name);

  /// Queues a message; returns false when there is no ready link, its queue
  /// is full or the message is too large. True means queued, not delivered:
  /// what is queued on a link that closes is lost.
  bool Send(const std::string& name, const Message& message);

  /// Names of the peers with a ready link, sorted.
  [[nodiscard]] std::vector<std::string> ConnectedPeers() const;

  /// Writes what is queued, closes all links and joins the thread; takes at
  /// most about the silence timeout. No callback runs afterwards.
  void Stop();

 private:
  struct Impl;
  explicit PeerMesh(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_PEER_MESH_H_
