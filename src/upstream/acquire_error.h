#ifndef CLEMENTINERILL_UPSTREAM_ACQUIRE_ERROR_H_
#define CLEMENTINERILL_UPSTREAM_ACQUIRE_ERROR_H_

namespace clementinerill {

/// @brief Reason that acquiring a connection to an upstream failed.
enum class AcquireError {
  kRefused,    ///< Connection refused; no process listens at the address.
  kConnect,    ///< Connecting timed out or failed for another reason.
  kExhausted,  ///< Connection limit still reached at the deadline.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_ACQUIRE_ERROR_H_
