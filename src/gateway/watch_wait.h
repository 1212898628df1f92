#ifndef CLEMENTINERILL_GATEWAY_WATCH_WAIT_H_
#define CLEMENTINERILL_GATEWAY_WATCH_WAIT_H_

#include <chrono>

#include "base/time.h"

namespace clementinerill::gateway {

/// @brief Returns the long-poll time of the watch of one kind.
///
/// Other daemons depend on the copy of a daemon that relays it, so that it must
/// be confirmed more often. A daemon for itself uses the longest time after
/// which a watch that was never answered is replaced within the bound.
///
/// @param must_be_fresh the copy must be up to date within
/// `max_propagation_delay`.
/// @param relays the copy is relayed to other daemons.
[[nodiscard]] std::chrono::milliseconds
WatchWait(Duration max_propagation_delay, bool must_be_fresh, bool relays);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_WATCH_WAIT_H_
