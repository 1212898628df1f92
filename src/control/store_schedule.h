#ifndef CLEMENTINERILL_CONTROL_STORE_SCHEDULE_H_
#define CLEMENTINERILL_CONTROL_STORE_SCHEDULE_H_

#include <chrono>

#include "base/time.h"
#include "control/configuration_state.h"
#include "control/store_role.h"

namespace clementinerill {

/// @brief Rate of reads that a starting group sends to the store.
///
/// Five groups that start at the same time stay at an eighth of the 2,000 reads
/// per second that the store sustains.
inline constexpr int kStartReadsPerSecond = 50;

/// @brief Mean interval between two reads of a polling daemon.
inline constexpr std::chrono::seconds kPollInterval{30};

/// @brief Upper bound of the mean delay after failures.
inline constexpr std::chrono::seconds kMaxStoreBackoff{10};

/// @brief The delay of the first read of the store after process start.
///
/// Spreads a group over `group_size / kStartReadsPerSecond` seconds. Depends
/// only on the name of the daemon and the size of its group.
[[nodiscard]] Duration StartDelay(const std::string& daemon,
                                  int group_size) noexcept;

/// @brief The time of the next call to the store.
///
/// The first call follows `StartDelay`. A failed call is retried with jittered
/// exponential backoff, which bounds the load on a recovering store. Otherwise
/// a watching daemon calls immediately and a polling daemon after a jittered
/// `kPollInterval`.
[[nodiscard]] Instant NextStoreCall(const ConfigurationState& state,
                                    StoreRole role) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_STORE_SCHEDULE_H_
