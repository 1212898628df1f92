#include "upstream/upstream_session.h"

#include <Poco/Net/NetException.h>

namespace clementinerill {
namespace {

// Much longer than any connection stays idle, so that the base class never
// reconnects between two exchanges.
constexpr int kKeepAliveSeconds = 24 * 3600;

}  // namespace

UpstreamSession::UpstreamSession(const Poco::Net::StreamSocket& socket)
    : HTTPClientSession(socket) {
  setKeepAlive(true);
  setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
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
