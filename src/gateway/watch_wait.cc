#include "gateway/watch_wait.h"

#include <algorithm>

#include "gateway/kind_watch.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

// Share of the maximum propagation delay for a daemon that relays. It leaves
// time for the other daemons to receive a change, or to switch relays.
constexpr double kRelayingWaitShare = 0.4;
// Lower limit for a daemon that follows the store for itself.
constexpr Duration kMinWait = milliseconds(500);
// For kinds whose copy may be out of date for some time.
constexpr milliseconds kStaleTolerantWait{8000};

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
  return std::chrono::duration_cast<milliseconds>(wait);
}

}  // namespace clementinerill::gateway
