#ifndef CLEMENTINERILL_TRAFFIC_USAGE_STATUS_H_
#define CLEMENTINERILL_TRAFFIC_USAGE_STATUS_H_

#include <cstdint>
#include <optional>
#include <string>

namespace clementinerill::traffic {

/// @brief What the status page shows of the reports of usage.
struct UsageStatus {
  std::string holder_;  ///< Daemon that sends the reports; empty if unknown.
  int64_t token_ = 0;   ///< Of the holder; 0 if unknown.
  bool is_holder_ = false;
  std::optional<int64_t> last_fixed_;  ///< Window; unset if unknown.
  std::optional<int64_t> last_sent_;   ///< By this daemon.
  size_t unsent_ = 0;                  ///< Reports that are not acknowledged.
  /// Difference between the agreed time and the own wall clock.
  std::optional<int64_t> clock_error_ms_;
};

[[nodiscard]] inline bool operator==(const UsageStatus& a,
                                     const UsageStatus& b) {
  return a.holder_ == b.holder_ && a.token_ == b.token_ &&
         a.is_holder_ == b.is_holder_ && a.last_fixed_ == b.last_fixed_ &&
         a.last_sent_ == b.last_sent_ && a.unsent_ == b.unsent_ &&
         a.clock_error_ms_ == b.clock_error_ms_;
}

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_USAGE_STATUS_H_
