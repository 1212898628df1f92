#include "http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace clementinerill::http {
namespace {

// Responses up to this size are written at once. Without the limit, the kernel
// takes up to 4 MB for each connection.
constexpr int kMaxUnsentBytes = 32 * 1024;

// Errors are ignored: on a kernel without the option the connection stays
// usable, and a dead path is detected by the timeout of the exchange.
void SetInt(int socket, int level, int option, int value) {
  setsockopt(socket, level, option, &value, sizeof(value));
}

}  // namespace

void SetNoDelay(boost::asio::ip::tcp::socket& socket) {
  SetInt(socket.native_handle(), IPPROTO_TCP, TCP_NODELAY, 1);
}

void LimitUnsentBytes(boost::asio::ip::tcp::socket& socket) {
  SetInt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
         kMaxUnsentBytes);
}

void SetKeepAlive(boost::asio::ip::tcp::socket& socket,
                  const KeepAliveOptions& options) {
  const int handle = socket.native_handle();
  SetInt(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetInt(handle, IPPROTO_TCP, TCP_KEEPIDLE,
         static_cast<int>(options.idle_.count()));
  SetInt(handle, IPPROTO_TCP, TCP_KEEPINTVL,
         static_cast<int>(options.interval_.count()));
  SetInt(handle, IPPROTO_TCP, TCP_KEEPCNT, options.probe_count_);
  SetInt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
         static_cast<int>(options.user_timeout_.count()));
}

}  // namespace clementinerill::http
