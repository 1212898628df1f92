#ifndef CLEMENTINERILL_DAEMON_ADMIN_SERVER_H_
#define CLEMENTINERILL_DAEMON_ADMIN_SERVER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/result.h"
#include "daemon/blocking_server.h"

namespace clementinerill {

/// @brief An HTTP request to the admin server.
struct AdminRequest {
  std::string method_;
  std::string path_;   ///< Decoded.
  std::string query_;  ///< Decoded, without the question mark.
  std::string token_;  ///< From `Authorization: Bearer <token>`.
  std::string body_;
};

/// @brief The response to an `AdminRequest`.
struct AdminReply {
  int status_ = 200;
  std::string content_type_ = "application/json";
  std::string body_ = "{}";
};

/// @brief HTTP server for operators, on an address separate from the callers'.
class AdminServer {
 public:
  using Handler = std::function<AdminReply(const AdminRequest&)>;

  AdminServer(std::string address, uint16_t port, Handler handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// @brief Starts to listen and serve; returns the bound port.
  [[nodiscard]] Result<uint16_t> Start();
  void Stop();

 private:
  [[nodiscard]] http::HttpResponse Handle(
      const http::HttpRequest& request) const;

  const Handler handler_;
  BlockingServer server_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_ADMIN_SERVER_H_
