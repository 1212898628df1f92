#include "http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace clementinerill::http {
namespace {

// A kernel without an option leaves the connection usable, so results are not
// checked: a dead path is then noticed by the timeout of the exchange.
void SetInt(int socket, int level, int option, int value) {
  setsockopt(socket, level, option, &value, sizeof(value));
}

}  // namespace

void SetNoDelay(boost::asio::ip::tcp::socket& socket) {
  SetInt(socket.native_handle(), IPPROTO_TCP, TCP_NODELAY, 1);
}

void SetKeepAlive(boost::asio::ip::tcp::socket& socket,
                  const KeepAlive& probe) {
  const int handle = socket.native_handle();
  SetInt(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetInt(handle, IPPROTO_TCP, TCP_KEEPIDLE,
         static_cast<int>(probe.idle_.count()));
  SetInt(handle, IPPROTO_TCP, TCP_KEEPINTVL,
         static_cast<int>(probe.interval_.count()));
  SetInt(handle, IPPROTO_TCP, TCP_KEEPCNT, probe.probes_);
  SetInt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
         static_cast<int>(probe.unacknowledged_.count()));
}

}  // namespace clementinerill::http
