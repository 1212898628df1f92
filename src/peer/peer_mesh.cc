#include "peer/peer_mesh.h"

#include <thread>
#include <utility>

#include <boost/asio/post.hpp>

#include "peer/codec.h"
#include "peer/mesh_core.h"

namespace clementinerill {
namespace {

// websocketpp caches the byte order in an unsynchronized static variable on
// first use; two meshes in one process would race on it.
void InitializeByteOrderDetection() {
  [[maybe_unused]] static const uint64_t converted =
      websocketpp::lib::net::_htonll(1);
}

}  // namespace

struct PeerMesh::Impl {
  Impl(PeerMeshOptions options, PeerCallbacks callbacks)
      : core_(std::move(options), std::move(callbacks)) {}

  MeshCore core_;
  uint16_t port_ = 0;
  std::thread thread_;
};

PeerMesh::PeerMesh(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

PeerMesh::~PeerMesh() {
  Stop();
}

Result<std::unique_ptr<PeerMesh>> PeerMesh::Start(PeerMeshOptions options,
                                                  PeerCallbacks callbacks) {
  InitializeByteOrderDetection();
  auto impl = std::make_unique<Impl>(std::move(options), std::move(callbacks));
  const auto port = impl->core_.Listen();
  if (!port) {
    return tl::make_unexpected(port.error());
  }
  impl->port_ = *port;
  MeshCore& core = impl->core_;
  impl->thread_ = std::thread([&core] { core.Run(); });
  return std::unique_ptr<PeerMesh>(new PeerMesh(std::move(impl)));
}

uint16_t PeerMesh::Port() const noexcept {
  return impl_->port_;
}

void PeerMesh::Connect(const std::string& name,
                       const std::string& address,
                       uint16_t port) {
  DialTarget target;
  target.address_ = address;
  target.port_ = port;
  MeshCore& core = impl_->core_;
  boost::asio::post(core.Io(),
                    [&core, name, target] { core.AddTarget(name, target); });
}

void PeerMesh::Disconnect(const std::string& name) {
  MeshCore& core = impl_->core_;
  boost::asio::post(core.Io(), [&core, name] { core.RemoveTarget(name); });
}

bool PeerMesh::Send(const std::string& name, const Message& message) {
  MeshCore& core = impl_->core_;
  const auto link = core.ReadyLinks().Find(name);
  if (link == nullptr) {
    return false;
  }
  std::string bytes = EncodeMessage(message);
  const size_t limit = core.Options().max_queued_bytes_;
  const size_t queued =
      link->buffered_bytes_ + (link->posted_bytes_ += bytes.size());
  if (bytes.size() > kMaxMessageBytes || queued > limit) {
    link->posted_bytes_ -= bytes.size();
    return false;
  }
  boost::asio::post(core.Io(), [&core, link, bytes = std::move(bytes)] {
    core.SendOnLink(*link, bytes);
  });
  return true;
}

std::vector<std::string> PeerMesh::ConnectedPeers() const {
  return impl_->core_.ReadyLinks().Names();
}

void PeerMesh::Stop() {
  if (!impl_->thread_.joinable()) {
    return;
  }
  MeshCore& core = impl_->core_;
  boost::asio::post(core.Io(), [&core] { core.Shutdown(); });
  impl_->thread_.join();
}

}  // namespace clementinerill
