#ifndef CLEMENTINERILL_UPSTREAM_ACQUIRE_ERROR_H_
#define CLEMENTINERILL_UPSTREAM_ACQUIRE_ERROR_H_

namespace clementinerill {

/// @brief Why there is no connection to an upstream.
enum class AcquireError {
  kRefused,    ///< No process listens at the address.
  kConnect,    ///< Connecting failed in another way or took too long.
  kExhausted,  ///< The share of connections was used up until the deadline.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_ACQUIRE_ERROR_H_
