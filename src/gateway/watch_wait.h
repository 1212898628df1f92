#ifndef CLEMENTINERILL_GATEWAY_WATCH_WAIT_H_
#define CLEMENTINERILL_GATEWAY_WATCH_WAIT_H_

#include <chrono>
#include <optional>

#include "base/time.h"
#include "mirror/relay_plan.h"

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

/// @brief Returns the long-poll time of the watch of the configuration.
///
/// With `max_proof_age`, it is so short that at every daemon the proof of the
/// configuration stays younger than 0.6 of that age while all is well: between
/// two responses it grows to twice the wait at the watcher, and to one poll
/// more at each daemon on the way.
[[nodiscard]] std::chrono::milliseconds ConfigurationWatchWait(
    Duration max_propagation_delay,
    std::optional<Duration> max_proof_age,
    bool relays);

/// @brief Returns the time for which a daemon asks its relay to hold a poll.
///
/// With `max_proof_age`, a standby polls twice as often: readers that follow it
/// instead of the watcher receive its age on top.
[[nodiscard]] std::chrono::milliseconds RelayPollWait(
    Duration max_propagation_delay,
    std::optional<Duration> max_proof_age,
    mirror::RelayRole role);

/// @brief Returns the age from which a daemon renews its proof at once, because
/// all is not well.
[[nodiscard]] Duration ProofRenewalAge(Duration max_proof_age);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_WATCH_WAIT_H_
