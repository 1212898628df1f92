#ifndef CLEMENTINERILL_PEER_FORWARD_H_
#define CLEMENTINERILL_PEER_FORWARD_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief A complete query, forwarded to a daemon that holds a seat of the
/// pool.
struct Forward {
  uint64_t id_ = 0;  ///< Unique per sender while the forward is in progress.
  std::string request_id_;
  std::string route_;
  std::string body_;
  std::string idempotency_key_;  ///< Empty if the caller sent none.
  uint32_t deadline_ms_ = 0;     ///< Time remaining when sent.
  uint32_t hops_ = 0;            ///< Forwards so far; limits forwarding loops.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_FORWARD_H_
