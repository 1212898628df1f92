#ifndef CLEMENTINERILL_PEER_MESH_CORE_H_
#define CLEMENTINERILL_PEER_MESH_CORE_H_

#include <map>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/result.h"
#include "peer/dial_target.h"
#include "peer/link_table.h"
#include "peer/peer_callbacks.h"
#include "peer/peer_mesh_options.h"
#include "peer/web_socket.h"

namespace clementinerill {

/// @brief The part of `PeerMesh` that runs on the mesh's thread.
///
/// Once `Run` has been called, all members except `ReadyLinks()`, `Io()` and
/// `Options()` may be used only on that thread.
class MeshCore {
 public:
  MeshCore(PeerMeshOptions options, PeerCallbacks callbacks);

  /// Opens the listen socket and returns its port.
  [[nodiscard]] Result<uint16_t> Listen();
  /// Runs the event loop until `Shutdown` has closed all links.
  void Run();

  void AddTarget(const std::string& name, DialTarget target);
  void RemoveTarget(const std::string& name);
  /// Sends an encoded message that `posted_bytes_` already includes.
  void SendOnLink(PeerLink& link, const std::string& bytes);
  /// Closes all links after their queued messages have been sent. `Run`
  /// returns when they are closed or the silence timeout has passed.
  void Shutdown();

  [[nodiscard]] LinkTable& ReadyLinks() noexcept { return ready_links_; }
  [[nodiscard]] boost::asio::io_context& Io() noexcept { return io_; }
  [[nodiscard]] const PeerMeshOptions& Options() const noexcept {
    return options_;
  }

 private:
  using LinkMap = std::map<WebSocketHandle,
                           std::shared_ptr<PeerLink>,
                           std::owner_less<WebSocketHandle>>;

  template <typename Endpoint>
  void ConfigureEndpoint(Endpoint& endpoint);
  void Dial(const std::string& name, DialTarget& target, Instant now);
  void ScheduleRedial(DialTarget& target, Instant now);
  void ScheduleTick();
  void Tick(Instant now);
  void CheckLink(PeerLink& link, Instant now);
  void Terminate(PeerLink& link, const std::string& reason);

  void OnOpen(const WebSocketHandle& handle);
  void OnClosed(const WebSocketHandle& handle);
  void OnFrame(const WebSocketHandle& handle);
  void OnMessage(const WebSocketHandle& handle, const std::string& bytes);
  void OnHello(const std::shared_ptr<PeerLink>& link, const Hello& hello);
  void CloseLinksToPreviousProcess(const Hello& hello);
  [[nodiscard]] std::shared_ptr<PeerLink> FindLink(
      const WebSocketHandle& handle) const;

  PeerMeshOptions options_;
  PeerCallbacks callbacks_;
  boost::asio::io_context io_;
  boost::asio::steady_timer tick_{io_};
  WebSocketServer server_;
  WebSocketClient client_;
  LinkMap all_links_;
  std::map<std::string, DialTarget> targets_;
  LinkTable ready_links_;
  std::mt19937 random_{std::random_device{}()};
  bool stopping_ = false;
  Instant stop_deadline_{};
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_MESH_CORE_H_
