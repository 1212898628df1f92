#ifndef CLEMENTINERILL_CAPACITY_SHARED_ESTIMATE_H_
#define CLEMENTINERILL_CAPACITY_SHARED_ESTIMATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "capacity/estimate.h"

namespace clementinerill::capacity {

/// @brief The most estimates that a daemon sends or keeps of another one.
inline constexpr size_t kMaxSharedEstimates = 512;

/// @brief What one or several daemons have learned of a replica.
struct SharedEstimate {
  uint32_t replica_ = 0;       ///< Hash of its id, which saves bytes.
  double log_slowness_ = 0;    ///< Logarithm of the lasting slowness.
  double accepted_share_ = 1;  ///< Of the slots.
  double weight_ = 0;          ///< Observations.
  Duration age_{};             ///< Of these.
};

/// @brief Returns what this daemon has learned itself of the replica; nothing
/// if that is little, old, or that the replica is like the others.
[[nodiscard]] std::optional<SharedEstimate> Share(const Estimate& estimate,
                                                  uint32_t replica,
                                                  Instant now);

/// @brief Uses what other daemons have learned beside the own observations.
void ApplyShared(Estimate& estimate, const SharedEstimate& shared, Instant now);

/// @brief The estimates of all daemons that are known to one.
///
/// Each process is kept by itself, so that a report that arrives twice or by
/// two ways counts once.
struct FleetEstimates {
  struct Report {
    std::vector<SharedEstimate> estimates_;
    Instant received_{};
    bool is_direct_ = true;  ///< Reported by the process itself.
  };

  std::map<std::string, Report> by_process_;
};

/// @brief Replaces the report of a process. Keeps a bounded number of
/// processes, of which the oldest report is dropped.
void RecordShared(FleetEstimates& fleet,
                  const std::string& process,
                  std::vector<SharedEstimate> estimates,
                  bool is_direct,
                  Instant now);

/// @brief Returns the merged estimates, by weight and age, of reports that are
/// not outdated.
[[nodiscard]] std::vector<SharedEstimate>
MergeShared(const FleetEstimates& fleet, bool only_direct, Instant now);

}  // namespace clementinerill::capacity

#endif  // CLEMENTINERILL_CAPACITY_SHARED_ESTIMATE_H_
