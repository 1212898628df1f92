#ifndef CLEMENTINERILL_DAEMON_UPSTREAM_STATUS_H_
#define CLEMENTINERILL_DAEMON_UPSTREAM_STATUS_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "sweep/snapshot.h"

namespace clementinerill {

/// @brief The state of one upstream at one time, as seen by this daemon.
struct UpstreamStatus {
  std::string name_;
  std::string service_;
  std::string pool_;
  bool open_ = true;         ///< Receives new work.
  int in_use_ = 0;           ///< Slots in use by this daemon.
  int slots_ = 0;            ///< Share of the slots of the replica.
  int connections_ = 0;      ///< Open connections of this daemon.
  Duration latency_{0};      ///< Mean of recent responses; zero: none.
  int failures_ = 0;         ///< Consecutive failures.
  Duration skipped_for_{0};  ///< Remaining skip period; zero: used.
  std::optional<int> cold_limit_;
  std::optional<std::vector<Snapshot>> offers_;  ///< Not set: unknown yet.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_UPSTREAM_STATUS_H_
