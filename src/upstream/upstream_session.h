#ifndef CLEMENTINERILL_UPSTREAM_UPSTREAM_SESSION_H_
#define CLEMENTINERILL_UPSTREAM_UPSTREAM_SESSION_H_

#include <memory>
#include <string>

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPClientSession.h>

#include "base/time.h"
#include "upstream/bounded_socket.h"

namespace clementinerill {

/// @brief An HTTP session on a single TCP connection that never reconnects.
///
/// The base class reconnects and resends automatically, which would hide
/// whether any byte of a request was sent. This class reports the failure
/// instead.
class UpstreamSession : public Poco::Net::HTTPClientSession {
 public:
  /// @brief Connects to an upstream. Throws `Poco::Exception` on failure.
  [[nodiscard]] static std::shared_ptr<UpstreamSession>
  Connect(const std::string& address, uint16_t port, Duration timeout);

  explicit UpstreamSession(Poco::AutoPtr<BoundedSocket> socket);

  /// @brief Starts an exchange: resets `HasWritten`. Nothing is received after
  /// `deadline`.
  void BeginExchange(Instant deadline) noexcept;

  /// @brief Whether any byte may have been sent since `BeginExchange`.
  [[nodiscard]] bool HasWritten() const noexcept { return wrote_; }

 protected:
  int write(const char* buffer, std::streamsize length) override;
  void connect(const Poco::Net::SocketAddress& address) override;

 private:
  Poco::AutoPtr<BoundedSocket> bounded_socket_;
  bool wrote_ = false;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_UPSTREAM_SESSION_H_
