#ifndef CLEMENTINERILL_UPSTREAM_UPSTREAM_SESSION_H_
#define CLEMENTINERILL_UPSTREAM_UPSTREAM_SESSION_H_

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/StreamSocket.h>

namespace clementinerill {

/// @brief An HTTP session on one TCP connection that is never re-opened.
///
/// The base class re-connects and sends again on its own, which would hide
/// whether a byte of a request has left. This one reports the failure.
class UpstreamSession : public Poco::Net::HTTPClientSession {
 public:
  explicit UpstreamSession(const Poco::Net::StreamSocket& socket);

  /// @brief Forgets the bytes of earlier exchanges.
  void BeginExchange() noexcept { wrote_ = false; }

  /// @brief Whether a byte may have left since `BeginExchange`.
  [[nodiscard]] bool HasWritten() const noexcept { return wrote_; }

 protected:
  int write(const char* buffer, std::streamsize length) override;
  void connect(const Poco::Net::SocketAddress& address) override;

 private:
  bool wrote_ = false;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_UPSTREAM_SESSION_H_
