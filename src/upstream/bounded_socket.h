#ifndef CLEMENTINERILL_UPSTREAM_BOUNDED_SOCKET_H_
#define CLEMENTINERILL_UPSTREAM_BOUNDED_SOCKET_H_

#include <cstdint>

#include <Poco/Net/StreamSocketImpl.h>

#include "base/time.h"

namespace clementinerill {

/// @brief A TCP socket that bounds what one exchange may receive.
///
/// Timeouts of a socket hold for each operation, and the HTTP client of POCO
/// reads until a response is complete. An upstream that sends bytes without
/// end, or one by one, would thus keep a thread and fill the memory.
class BoundedSocket : public Poco::Net::StreamSocketImpl {
 public:
  /// @brief Starts an exchange that may receive until `deadline`.
  void BeginExchange(Instant deadline) noexcept;

  /// @brief Receives bytes.
  ///
  /// Throws `Poco::TimeoutException` after the deadline, and
  /// `Poco::IOException` if the exchange receives more than 16 MiB.
  int receiveBytes(void* buffer, int length, int flags) override;

 private:
  Instant deadline_ = Instant::max();
  int64_t received_ = 0;  ///< Bytes since the start of the exchange.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_BOUNDED_SOCKET_H_
