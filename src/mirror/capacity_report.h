#ifndef CLEMENTINERILL_MIRROR_CAPACITY_REPORT_H_
#define CLEMENTINERILL_MIRROR_CAPACITY_REPORT_H_

#include <chrono>
#include <cstdint>

namespace clementinerill::mirror {

/// @brief What one or several daemons have learned of a replica's speed and
/// capacity; see `capacity::SharedEstimate`.
struct CapacityReport {
  uint32_t replica_ = 0;        ///< Hash of its id, which saves bytes.
  int64_t log_slowness_ = 0;    ///< In thousandths.
  int64_t accepted_share_ = 0;  ///< In thousandths.
  int64_t observations_ = 0;    ///< Number of them.
  std::chrono::milliseconds age_{};
};

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_CAPACITY_REPORT_H_
