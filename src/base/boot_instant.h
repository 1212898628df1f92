#ifndef CLEMENTINERILL_BASE_BOOT_INSTANT_H_
#define CLEMENTINERILL_BASE_BOOT_INSTANT_H_

#include <chrono>

namespace clementinerill {

/// @brief Marks time points of the monotonic clock that also counts while the
/// VM is suspended, unlike that of `Instant`.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
};

/// @brief A point in time on the boot clock, for bounds that must hold in true
/// time, such as leases and the age of a copy.
///
/// Decision functions take it as an argument and never read a clock.
using BootInstant = BootClock::time_point;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_BOOT_INSTANT_H_
