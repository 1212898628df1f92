#ifndef CLEMENTINERILL_PEER_WEB_SOCKET_H_
#define CLEMENTINERILL_PEER_WEB_SOCKET_H_

#include <type_traits>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "peer/codec.h"

namespace clementinerill {

/// @brief Configuration of client and server, so that their connections have
/// the same type.
///
/// Derives from the client configuration because the server configuration has
/// no random source for the masks of sent frames.
struct WebSocketConfig : public websocketpp::config::asio_client {
  // The names are required by websocketpp.
  // NOLINTBEGIN(readability-identifier-naming)
  using type = WebSocketConfig;
  using base = websocketpp::config::asio_client;

  struct transport_config : public base::transport_config {
    static const long timeout_connect = 3000;
  };
  using transport_type =
      websocketpp::transport::asio::endpoint<transport_config>;

  static const size_t max_message_size = kMaxMessageBytes;
  // NOLINTEND(readability-identifier-naming)
};

using WebSocketServer = websocketpp::server<WebSocketConfig>;
using WebSocketClient = websocketpp::client<WebSocketConfig>;
using WebSocketLink = WebSocketServer::connection_ptr;
using WebSocketHandle = websocketpp::connection_hdl;

static_assert(std::is_same_v<WebSocketLink, WebSocketClient::connection_ptr>);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_WEB_SOCKET_H_
