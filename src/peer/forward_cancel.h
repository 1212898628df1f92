#ifndef CLEMENTINERILL_PEER_FORWARD_CANCEL_H_
#define CLEMENTINERILL_PEER_FORWARD_CANCEL_H_

#include <cstdint>

namespace clementinerill {

/// @brief The caller of a `Forward` no longer waits for the answer.
struct ForwardCancel {
  uint64_t id_ = 0;  ///< `Forward::id_`.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_FORWARD_CANCEL_H_
