#ifndef CLEMENTINERILL_MIRROR_DAEMON_LIVENESS_H_
#define CLEMENTINERILL_MIRROR_DAEMON_LIVENESS_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "mirror/daemon_record.h"

namespace clementinerill::mirror {

/// @brief The record of a daemon that answers no probe for this long expires.
///
/// Well above the seconds to minutes that restarts, freezes and partitions
/// take. 34 VMs fail on an ordinary day, so only a few stale records accumulate
/// in the meantime.
inline constexpr Duration kDaemonExpiry = std::chrono::minutes(5);

/// @brief The probed daemons that are unresponsive.
struct DaemonLiveness {
  /// Time of the first unanswered probe since the last answer, by daemon name.
  std::map<std::string, Instant> silent_since_;
};

/// @brief Records whether a probe was answered.
void RecordProbeResult(DaemonLiveness& liveness,
                       const std::string& daemon,
                       bool answered,
                       Instant now);

/// @brief Whether the record of the daemon has expired and is to be deleted.
[[nodiscard]] bool IsExpired(const DaemonLiveness& liveness,
                             const std::string& daemon,
                             Instant now);

/// @brief Drops the state of all daemons that are not in `probed`.
void RetainOnly(DaemonLiveness& liveness,
                const std::vector<DaemonRecord>& probed);

/// @brief The daemons that one daemon probes in turn.
struct ProbePlan {
  std::vector<DaemonRecord> daemons_;
  Duration period_{};  ///< Time between two probes.
};

/// @brief Plans the probes of the daemon `self`.
///
/// Each daemon is probed by another one of its failure domain: the first relay
/// probes all others, and the second relay probes the first. The readers probe
/// both relays at a longer period, in case both were removed. A daemon that is
/// not registered probes none.
[[nodiscard]] ProbePlan PlanProbes(const std::vector<DaemonRecord>& daemons,
                                   const std::string& self);

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_DAEMON_LIVENESS_H_
