#ifndef CLEMENTINERILL_HTTP_SOCKET_OPTIONS_H_
#define CLEMENTINERILL_HTTP_SOCKET_OPTIONS_H_

#include <chrono>

#include <boost/asio/ip/tcp.hpp>

namespace clementinerill::http {

/// @brief How soon a dead peer is noticed on a connection without traffic.
///
/// Two probes a second apart notice a silent path within about 3 s, well below
/// the 4 s after which a VM counts as reachable again.
struct KeepAlive {
  std::chrono::seconds idle_{1};
  std::chrono::seconds interval_{1};
  int probes_ = 2;
  std::chrono::milliseconds unacknowledged_{2500};
};

/// @brief Sends small messages at once.
void SetNoDelay(boost::asio::ip::tcp::socket& socket);

/// @brief Probes the peer and gives up on unacknowledged bytes.
void SetKeepAlive(boost::asio::ip::tcp::socket& socket, const KeepAlive& probe);

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_SOCKET_OPTIONS_H_
