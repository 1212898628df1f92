#ifndef CLEMENTINERILL_DAEMON_ADMIN_SERVER_H_
#define CLEMENTINERILL_DAEMON_ADMIN_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include "base/result.h"

namespace clementinerill {

/// @brief One request of an operator.
struct AdminRequest {
  std::string method_;
  std::string path_;   ///< Decoded.
  std::string query_;  ///< Decoded, without the question mark.
  std::string token_;  ///< From `Authorization: Bearer <token>`.
  std::string body_;
};

/// @brief The answer to an operator.
struct AdminReply {
  int status_ = 200;
  std::string content_type_ = "application/json";
  std::string body_ = "{}";
};

/// @brief HTTP towards operators, on an address of its own.
class AdminServer {
 public:
  using Handler = std::function<AdminReply(const AdminRequest&)>;

  AdminServer(std::string address, uint16_t port, Handler handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// @brief Listens and serves; returns the port.
  [[nodiscard]] Result<uint16_t> Start();
  void Stop();

 private:
  const std::string address_;
  const uint16_t port_;
  const Handler handler_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_ADMIN_SERVER_H_
