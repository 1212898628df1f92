#ifndef CLEMENTINERILL_DAEMON_CALLER_SERVER_H_
#define CLEMENTINERILL_DAEMON_CALLER_SERVER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <Poco/Net/HTTPServer.h>

#include "base/result.h"
#include "daemon/parse_query.h"
#include "sweep/query_answer.h"

namespace clementinerill {

/// @brief What the caller server needs from the daemon.
struct CallerHandlers {
  /// Runs a query; polls the second argument to learn that the caller left.
  std::function<QueryAnswer(const QueryInput&, const std::function<bool()>&)>
      query_;
  std::function<bool()> is_ready_;
};

/// @brief Limits of the caller server.
struct CallerServerOptions {
  std::string address_ = "127.0.0.1";
  uint16_t port_ = 0;  ///< Zero lets the system choose.
  int threads_ = 200;  ///< Callers served at once.
  size_t most_body_bytes_ = size_t{1} << 20;
};

/// @brief HTTP towards callers: `/v1/<route>`, `/healthz` and `/readyz`.
class CallerServer {
 public:
  CallerServer(const CallerServerOptions& options, CallerHandlers handlers);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// @brief Listens and serves; fails when the address is not available.
  [[nodiscard]] Result<uint16_t> Start();

  /// @brief Ends each connection with its next answer (`Connection: close`);
  /// new connections are still served.
  void BeginDrain() noexcept { draining_ = true; }

  /// @brief Stops accepting and waits for the requests in progress.
  void Stop();

 private:
  const CallerServerOptions options_;
  const CallerHandlers handlers_;
  std::unique_ptr<Poco::ThreadPool> threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
  std::shared_ptr<std::atomic<int>> in_progress_;
  std::atomic<bool> draining_{false};
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_CALLER_SERVER_H_
