#ifndef CLEMENTINERILL_PEER_FORWARD_CANCEL_H_
#define CLEMENTINERILL_PEER_FORWARD_CANCEL_H_

#include <cstdint>

namespace clementinerill {

/// @brief Cancels a `Forward` whose caller no longer waits for the response.
struct ForwardCancel {
  uint64_t id_ = 0;  ///< `Forward::id_` of the request.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_FORWARD_CANCEL_H_
