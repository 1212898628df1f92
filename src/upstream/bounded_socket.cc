#include "upstream/bounded_socket.h"

#include <Poco/Exception.h>

namespace clementinerill {
namespace {

// Far above the largest answer, which holds the top matches of one shard.
constexpr int64_t kMaxResponseBytes = 16 * 1024 * 1024;

}  // namespace

void BoundedSocket::BeginExchange(Instant deadline) noexcept {
  deadline_ = deadline;
  received_ = 0;
}

int BoundedSocket::receiveBytes(void* buffer, int length, int flags) {
  if (std::chrono::steady_clock::now() >= deadline_) {
    throw Poco::TimeoutException("the response is not complete in time");
  }
  const int bytes = StreamSocketImpl::receiveBytes(buffer, length, flags);
  received_ += bytes > 0 ? bytes : 0;
  if (received_ > kMaxResponseBytes) {
    throw Poco::IOException("the response is too long");
  }
  return bytes;
}

}  // namespace clementinerill
