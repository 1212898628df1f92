#include "gateway/watch_wait.h"

#include <algorithm>

#include "gateway/kind_watch.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

// Share of the maximum propagation delay for a daemon that relays. It leaves
// time for the other daemons to receive a change, or to switch relays.
constexpr double kRelayingWaitShare = 0.4;
// Long-poll time of a reader at its relay. With the wait of the relay it leaves
// a third of the delay for switching relays.
constexpr double kRelayPollShare = 0.16;
// Lower limit for a daemon that follows the store for itself.
constexpr Duration kMinWait = milliseconds(500);
// For kinds whose copy may be out of date for some time.
constexpr milliseconds kStaleTolerantWait{8000};

// Shares of the maximum age of a proof: the age that it reaches while all is
// well, the part of it for the time that calls take, and the longest poll of a
// reader.
constexpr double kCalmProofShare = 0.6;
constexpr double kProofMarginShare = 0.03;
constexpr double kProofPollShare = 0.2;
// Lower limit of a wait that a proof requires.
constexpr milliseconds kMinProofWait{50};

milliseconds InMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

}  // namespace

milliseconds WatchWait(Duration max_propagation_delay,
                       bool must_be_fresh,
                       bool relays) {
  if (!must_be_fresh) {
    return kStaleTolerantWait;
  }
  const Duration wait =
      relays ? Scale(max_propagation_delay, kRelayingWaitShare)
             : std::max(max_propagation_delay - kWatchRecoveryTime,
                        Duration(kMinWait));
  return InMilliseconds(wait);
}

milliseconds ConfigurationWatchWait(Duration max_propagation_delay,
                                    std::optional<Duration> max_proof_age,
                                    bool relays) {
  const milliseconds wait = WatchWait(max_propagation_delay, true, relays);
  if (!max_proof_age) {
    return wait;
  }
  Duration left = Scale(*max_proof_age, kCalmProofShare - kProofMarginShare);
  if (relays) {
    for (const auto role :
         {mirror::RelayRole::kStandby, mirror::RelayRole::kReader}) {
      left -= RelayPollWait(max_propagation_delay, max_proof_age, role);
    }
  }
  return std::min(wait, std::max(InMilliseconds(left / 2), kMinProofWait));
}

milliseconds RelayPollWait(Duration max_propagation_delay,
                           std::optional<Duration> max_proof_age,
                           mirror::RelayRole role) {
  const Duration poll = Scale(max_propagation_delay, kRelayPollShare);
  if (!max_proof_age) {
    return InMilliseconds(poll);
  }
  const Duration capped =
      std::min(poll, Scale(*max_proof_age, kProofPollShare));
  return InMilliseconds(role == mirror::RelayRole::kStandby ? capped / 2
                                                            : capped);
}

Duration ProofRenewalAge(Duration max_proof_age) {
  return Scale(max_proof_age, kCalmProofShare);
}

}  // namespace clementinerill::gateway
