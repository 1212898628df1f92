#include "upstream/upstream_session.h"

#include <utility>

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

namespace clementinerill {
namespace {

// Much longer than any connection stays idle, so that the base class never
// reconnects between two exchanges.
constexpr int kKeepAliveSeconds = 24 * 3600;

}  // namespace

std::shared_ptr<UpstreamSession> UpstreamSession::Connect(
    const std::string& address,
    uint16_t port,
    Duration timeout) {
  const auto microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(timeout).count();
  Poco::AutoPtr<BoundedSocket> socket(new BoundedSocket);
  socket->connect(Poco::Net::SocketAddress(address, port),
                  Poco::Timespan(microseconds));
  socket->setNoDelay(true);
  return std::make_shared<UpstreamSession>(socket);
}

UpstreamSession::UpstreamSession(Poco::AutoPtr<BoundedSocket> socket)
    : HTTPClientSession(Poco::Net::StreamSocket(socket.duplicate())),
      bounded_socket_(std::move(socket)) {
  setKeepAlive(true);
  setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
}

void UpstreamSession::BeginExchange(Instant deadline) noexcept {
  wrote_ = false;
  bounded_socket_->BeginExchange(deadline);
}

int UpstreamSession::write(const char* buffer, std::streamsize length) {
  const int sent = HTTPClientSession::write(buffer, length);
  wrote_ = wrote_ || sent > 0;
  return sent;
}

void UpstreamSession::connect(const Poco::Net::SocketAddress& address) {
  static_cast<void>(address);
  throw Poco::Net::ConnectionResetException("the connection was closed");
}

}  // namespace clementinerill
