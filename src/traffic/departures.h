#ifndef CLEMENTINERILL_TRAFFIC_DEPARTURES_H_
#define CLEMENTINERILL_TRAFFIC_DEPARTURES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "traffic/replica_entry.h"

namespace clementinerill::traffic {

/// @brief Processes that reported with a response that they are leaving.
///
/// A departure is final: it outlasts `ReplicaState`, which ends with the entry
/// of the replica, because the entry of the same process may return, for
/// example from an older copy of the store.
struct Departures {
  struct Departure {
    int64_t started_unix_ms_ = 0;
    Instant reported_at_{};
  };

  std::map<std::string, Departure> by_replica_;  ///< By id.
};

/// Departures that are kept; beyond it the oldest one is dropped. More than the
/// replicas of the size to design for.
inline constexpr size_t kMaxDepartures = 8192;

/// @brief Records the departure of a process; the first report counts.
///
/// Returns whether it is new.
bool RecordDeparture(Departures& departures,
                     const ReplicaEntry& entry,
                     Instant now);

/// @brief Returns when the process of `entry` reported that it is leaving.
///
/// A process is identified by its id and start: another one that uses the same
/// address is not concerned.
[[nodiscard]] std::optional<Instant> FindDeparture(const Departures& departures,
                                                   const ReplicaEntry& entry);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_DEPARTURES_H_
