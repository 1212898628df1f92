#ifndef CLEMENTINERILL_UPSTREAM_UPSTREAM_SESSION_H_
#define CLEMENTINERILL_UPSTREAM_UPSTREAM_SESSION_H_

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/StreamSocket.h>

namespace clementinerill {

/// @brief An HTTP session on a single TCP connection that never reconnects.
///
/// The base class reconnects and resends automatically, which would hide
/// whether any byte of a request was sent. This class reports the failure
/// instead.
class UpstreamSession : public Poco::Net::HTTPClientSession {
 public:
  explicit UpstreamSession(const Poco::Net::StreamSocket& socket);

  /// @brief Resets `HasWritten` for a new exchange.
  void BeginExchange() noexcept { wrote_ = false; }

  /// @brief Whether any byte may have been sent since `BeginExchange`.
  [[nodiscard]] bool HasWritten() const noexcept { return wrote_; }

 protected:
  int write(const char* buffer, std::streamsize length) override;
  void connect(const Poco::Net::SocketAddress& address) override;

 private:
  bool wrote_ = false;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_UPSTREAM_SESSION_H_
