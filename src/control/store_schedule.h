#ifndef CLEMENTINERILL_CONTROL_STORE_SCHEDULE_H_
#define CLEMENTINERILL_CONTROL_STORE_SCHEDULE_H_

#include <chrono>

#include "base/time.h"
#include "control/configuration_state.h"
#include "control/store_role.h"

namespace clementinerill {

/// @brief Reads per second that one starting group sends to the store.
///
/// Five groups that start together stay at an eighth of the 2,000 reads per
/// second that the store sustains.
inline constexpr int kStartReadsPerSecond = 50;

/// @brief Mean pause between two reads of a daemon that polls.
inline constexpr std::chrono::seconds kPollInterval{30};

/// @brief Longest mean pause after failures.
inline constexpr std::chrono::seconds kMaxStoreBackoff{10};

/// @brief The delay of the first read of the store after a start.
///
/// Spreads a group over `group_size / kStartReadsPerSecond` seconds. Depends
/// only on the name of the daemon and the size of its group.
[[nodiscard]] Duration StartDelay(const std::string& daemon,
                                  int group_size) noexcept;

/// @brief When the daemon should call the store next.
///
/// The first call follows `StartDelay`. A call that failed is repeated with
/// jittered backoff, which bounds the load on a store that returns. Otherwise
/// a watching daemon calls at once and a polling one after a jittered
/// `kPollInterval`.
[[nodiscard]] Instant NextStoreCall(const ConfigurationState& state,
                                    StoreRole role) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_STORE_SCHEDULE_H_
