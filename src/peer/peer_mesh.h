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

/// @brief WebSocket links to other daemons, served by a dedicated thread.
///
/// Accepts links and dials the peers passed to `Connect`; redials with backoff
/// when a link closes or times out. All members except `Stop` and the
/// destructor may be called from any thread, including from callbacks.
class PeerMesh {
 public:
  /// Starts listening. Fails if the address is malformed or in use.
  [[nodiscard]] static Result<std::unique_ptr<PeerMesh>> Start(
      PeerMeshOptions options,
      PeerCallbacks callbacks);

  ~PeerMesh();
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  /// Returns the port that the mesh listens on.
  [[nodiscard]] uint16_t Port() const noexcept;

  /// Maintains a link to the peer; does not dial while a link that the peer
  /// opened is ready. A later call replaces the address for the next attempt.
  void Connect(const std::string& name,
               const std::string& address,
               uint16_t port);

  /// Stops dialing the peer and closes its links.
  void Disconnect(const std::string& name);

  /// Queues a message. Returns false if there is no ready link, its queue is
  /// full or the message is too large. True does not imply delivery: messages
  /// queued on a link that closes are lost.
  bool Send(const std::string& name, const Message& message);

  /// Returns the names of the peers with a ready link, sorted.
  [[nodiscard]] std::vector<std::string> ConnectedPeers() const;

  /// Sends queued messages, closes all links and joins the thread, which takes
  /// at most about the silence timeout. No callback runs afterwards.
  void Stop();

 private:
  struct Impl;
  explicit PeerMesh(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_PEER_MESH_H_
