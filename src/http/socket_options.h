#ifndef CLEMENTINERILL_HTTP_SOCKET_OPTIONS_H_
#define CLEMENTINERILL_HTTP_SOCKET_OPTIONS_H_

#include <chrono>

#include <boost/asio/ip/tcp.hpp>

namespace clementinerill::http {

/// @brief TCP keep-alive settings: how soon a dead peer is detected.
///
/// Two probes one second apart detect an unresponsive path within about 3 s,
/// well below the 4 s after which a VM counts as reachable again.
struct KeepAliveOptions {
  std::chrono::seconds idle_{1};
  std::chrono::seconds interval_{1};
  int probe_count_ = 2;
  std::chrono::milliseconds user_timeout_{2500};  ///< For unacknowledged data.
};

/// @brief Disables Nagle's algorithm, so that small messages are sent at once.
void SetNoDelay(boost::asio::ip::tcp::socket& socket);

/// @brief Limits the bytes that the kernel keeps of what the peer has no room
/// for. The others stay in the process, which counts them.
void LimitUnsentBytes(boost::asio::ip::tcp::socket& socket);

/// @brief Enables TCP keep-alive and the timeout for unacknowledged data.
void SetKeepAlive(boost::asio::ip::tcp::socket& socket,
                  const KeepAliveOptions& options);

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_SOCKET_OPTIONS_H_
