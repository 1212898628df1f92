#ifndef CLEMENTINERILL_TRAFFIC_REPLICA_ENTRY_H_
#define CLEMENTINERILL_TRAFFIC_REPLICA_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"

namespace clementinerill::traffic {

/// @brief Entry of one replica in service discovery.
struct ReplicaEntry {
  std::string id_;
  std::string service_;
  std::string address_;  ///< IPv4 address.
  uint16_t port_ = 0;
  std::string failure_domain_;
  std::string version_;  ///< Version of the software.
  int slots_ = 1;        ///< Requests that run concurrently.
  /// Start of the process in Unix milliseconds. Distinguishes processes that
  /// use the same id; never compared with a clock.
  int64_t started_unix_ms_ = 0;
  /// End of the warm-up by the clock of this process.
  std::optional<Instant> cold_until_;
  /// When this daemon learned that the replica is leaving.
  std::optional<Instant> leaving_since_;
  /// Whether the replica announced that it is leaving, which is final for its
  /// process.
  bool has_announced_leaving_ = false;
  bool is_listed_ = true;  ///< Whether service discovery still has the entry.
};

/// @brief Whether both entries describe the same process.
[[nodiscard]] inline bool IsSameProcess(const ReplicaEntry& a,
                                        const ReplicaEntry& b) noexcept {
  return a.id_ == b.id_ && a.started_unix_ms_ == b.started_unix_ms_ &&
         a.address_ == b.address_ && a.port_ == b.port_ &&
         a.service_ == b.service_;
}

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_REPLICA_ENTRY_H_
