#ifndef CLEMENTINERILL_TRAFFIC_REPLICA_REPORT_H_
#define CLEMENTINERILL_TRAFFIC_REPLICA_REPORT_H_

#include <optional>

#include "base/time.h"
#include "traffic/reported_load.h"

namespace clementinerill::traffic {

/// @brief What a response says about the state of its replica.
struct ReplicaReport {
  std::optional<ReportedLoad> load_;
  std::optional<Duration> warmup_remaining_;
  /// Requests per second that the replica accepts from all daemons together,
  /// for as long as its responses name a limit.
  std::optional<double> rate_limit_;
  /// How long the replica, which refused a request, takes no further ones from
  /// this daemon.
  std::optional<Duration> pause_;
};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_REPLICA_REPORT_H_
