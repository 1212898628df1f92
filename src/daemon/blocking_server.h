#ifndef CLEMENTINERILL_DAEMON_BLOCKING_SERVER_H_
#define CLEMENTINERILL_DAEMON_BLOCKING_SERVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "base/result.h"
#include "http/http.h"
#include "upstream/task_pool.h"

namespace clementinerill {

/// @brief Address and limits of a `BlockingServer`.
struct BlockingServerOptions {
  std::string address_ = "127.0.0.1";
  uint16_t port_ = 0;  ///< 0: the system chooses a port.
  int threads_ = 8;    ///< Requests that are handled at once.
  /// Requests that wait for a thread; others are refused.
  int max_waiting_ = 8;
  CallerLimits limits_;
  uint64_t memory_bytes_ = 0;  ///< Of requests, and of unread responses.
  size_t max_connections_ = 0;
};

/// @brief Callbacks of a `BlockingServer`.
struct BlockingServerHandlers {
  /// Runs on a thread of the pool; the second argument returns true once the
  /// client has disconnected.
  std::function<http::HttpResponse(const http::HttpRequest&,
                                   const std::function<bool()>&)>
      handle_;
  /// Makes the response to a request that is refused before it is handled. Runs
  /// on the thread of the connections.
  std::function<http::HttpResponse(http::RequestError)> refuse_;
};

/// @brief An HTTP server with blocking handlers.
///
/// One thread serves all connections, so that slow clients occupy none of the
/// threads that handle requests.
class BlockingServer {
 public:
  BlockingServer(const BlockingServerOptions& options,
                 BlockingServerHandlers handlers);
  ~BlockingServer();
  BlockingServer(const BlockingServer&) = delete;
  BlockingServer& operator=(const BlockingServer&) = delete;

  /// @brief Starts to listen and serve; fails when the address is unavailable.
  [[nodiscard]] Result<uint16_t> Start();

  /// @brief Closes each connection after its next response; new connections are
  /// still served.
  void BeginDrain() noexcept { draining_ = true; }

  /// @brief Stops accepting connections, waits for requests in progress and, up
  /// to `max_wait`, for those that are being received or answered.
  void Stop(Duration max_wait);

 private:
  using Connection = std::shared_ptr<http::ServerConnection>;

  void OnRequest(const Connection& connection, http::HttpRequest request);
  void Tick();

  const BlockingServerOptions options_;
  const BlockingServerHandlers handlers_;
  http::EventLoop loop_;
  http::Listener listener_;
  std::unique_ptr<TaskPool> workers_;
  std::thread thread_;
  int in_progress_ = 0;  ///< Used on `thread_` only.
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<Instant> stop_by_{Instant::max()};
};

/// @brief The share of this process's descriptors that a listener may use.
[[nodiscard]] size_t ShareOfDescriptors(size_t part);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_BLOCKING_SERVER_H_
