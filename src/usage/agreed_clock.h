#ifndef CLEMENTINERILL_USAGE_AGREED_CLOCK_H_
#define CLEMENTINERILL_USAGE_AGREED_CLOCK_H_

#include <map>
#include <optional>
#include <string>

#include "base/boot_instant.h"
#include "usage/window.h"

namespace clementinerill::usage {

/// @brief Difference between a time since 1970 and this VM's boot clock.
using ClockOffset = std::chrono::milliseconds;

/// @brief Returns the time that `offset` gives for `now`.
[[nodiscard]] constexpr WallTime ToWallTime(ClockOffset offset,
                                            BootInstant now) noexcept {
  return offset + std::chrono::duration_cast<WallTime>(now.time_since_epoch());
}

/// @brief An offset and when it was measured.
struct ClockSample {
  ClockOffset offset_{};
  BootInstant taken_;
};

/// @brief The time on which several daemons agree.
///
/// A daemon that exchanges messages with daemons of other failure domains takes
/// the median of their wall clocks and its own. The others take over the time
/// of their relay. Once known, the offset to the boot clock changes only with
/// newer samples, so that a step of the own wall clock has no effect.
struct AgreedClock {
  BootInstant started_;  ///< When this process started.
  std::optional<ClockSample> own_;
  std::map<std::string, ClockSample> others_;  ///< Wall clocks, by daemon.
  std::optional<ClockSample> relay_;           ///< Agreed time of the relay.
  std::optional<ClockOffset> offset_;          ///< Unset until agreed.
  /// Since when too few clocks to decide have contradicted `offset_`.
  std::optional<BootInstant> contradicted_since_;
};

/// @brief When a request was sent and its response received, on the own boot
/// clock, and for how long the other daemon states that it held it.
struct RoundTrip {
  BootInstant sent_;
  BootInstant received_;
  std::chrono::milliseconds held_{};
};

/// @brief Records the own wall clock.
void RecordOwnClock(AgreedClock& clock, WallTime wall, BootInstant now);

/// @brief Records the wall clock that another daemon stated in a response.
/// Ignores it if the response took too long to be precise.
void RecordClock(AgreedClock& clock,
                 const std::string& daemon,
                 WallTime wall,
                 const RoundTrip& trip);

/// @brief Records the agreed time that a relay stated in a response.
void RecordRelayTime(AgreedClock& clock,
                     WallTime agreed,
                     const RoundTrip& trip);

/// @brief Updates the agreed time from the samples.
void Agree(AgreedClock& clock, BootInstant now);

/// @brief Returns the agreed time; none before daemons have agreed.
[[nodiscard]] std::optional<WallTime> AgreedTime(const AgreedClock& clock,
                                                 BootInstant now);

}  // namespace clementinerill::usage

#endif  // CLEMENTINERILL_USAGE_AGREED_CLOCK_H_
