#ifndef CLEMENTINERILL_DAEMON_CALLER_SERVER_H_
#define CLEMENTINERILL_DAEMON_CALLER_SERVER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/result.h"
#include "daemon/blocking_server.h"
#include "daemon/parse_query.h"
#include "sweep/query_answer.h"

namespace clementinerill {

/// @brief Callbacks of the caller server into the daemon.
struct CallerHandlers {
  /// Runs a query; polls the second argument, which returns true once the
  /// caller has disconnected.
  std::function<QueryAnswer(const QueryInput&, const std::function<bool()>&)>
      query_;
  std::function<bool()> is_ready_;
};

/// @brief Address and limits of the caller server.
struct CallerServerOptions {
  std::string address_ = "127.0.0.1";
  uint16_t port_ = 0;  ///< 0: the system chooses a port.
  int threads_ = 200;  ///< Maximum of concurrent requests.
  size_t most_body_bytes_ = size_t{1} << 20;
};

/// @brief HTTP server for callers: `/v1/<route>`, `/healthz` and `/readyz`.
class CallerServer {
 public:
  CallerServer(const CallerServerOptions& options, CallerHandlers handlers);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// @brief Starts to listen and serve; fails when the address is unavailable.
  [[nodiscard]] Result<uint16_t> Start();

  /// @brief Closes each connection after its next response
  /// (`Connection: close`); new connections are still served.
  void BeginDrain() noexcept { server_.BeginDrain(); }

  /// @brief Stops accepting connections and waits for requests in progress.
  void Stop();

 private:
  [[nodiscard]] http::HttpResponse Handle(
      const http::HttpRequest& request,
      const std::function<bool()>& caller_gone) const;
  [[nodiscard]] http::HttpResponse ServeQuery(
      const std::string& path,
      const http::HttpRequest& request,
      const std::function<bool()>& caller_gone) const;

  const CallerHandlers handlers_;
  BlockingServer server_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_CALLER_SERVER_H_
