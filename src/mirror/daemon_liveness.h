#ifndef CLEMENTINERILL_MIRROR_DAEMON_LIVENESS_H_
#define CLEMENTINERILL_MIRROR_DAEMON_LIVENESS_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "mirror/daemon_record.h"

namespace clementinerill::mirror {

/// @brief A daemon that answers no probe for this time is gone.
///
/// Well above restarts, freezes and partitions, which take seconds to minutes;
/// 34 VMs fail on an ordinary day, so the list grows by a few records until
/// then.
inline constexpr Duration kDaemonExpiry = std::chrono::minutes(5);

/// @brief Since when daemons have answered no probe.
struct DaemonLiveness {
  std::map<std::string, Instant> silent_since_;
};

/// @brief Takes the outcome of a probe.
void RecordProbeResult(DaemonLiveness& liveness,
                       const std::string& daemon,
                       bool answered,
                       Instant now);

/// @brief Whether the record of the daemon is to be deleted.
[[nodiscard]] bool IsExpired(const DaemonLiveness& liveness,
                             const std::string& daemon,
                             Instant now);

/// @brief Forgets the daemons that are not among `probed`.
void RetainOnly(DaemonLiveness& liveness,
                const std::vector<DaemonRecord>& probed);

/// @brief Whom one daemon probes, one after the other.
struct ProbePlan {
  std::vector<DaemonRecord> daemons_;
  Duration period_{};  ///< Between two probes.
};

/// @brief Plans the probes of `self`, so that each daemon is probed by another
/// one of its failure domain.
///
/// The first relay of a failure domain probes all others, the second relay the
/// first. The others probe both relays now and then, for the case that both
/// were removed.
[[nodiscard]] ProbePlan PlanProbes(const std::vector<DaemonRecord>& daemons,
                                   const std::string& self);

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_DAEMON_LIVENESS_H_
