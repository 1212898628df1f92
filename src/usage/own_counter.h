#ifndef CLEMENTINERILL_USAGE_OWN_COUNTER_H_
#define CLEMENTINERILL_USAGE_OWN_COUNTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/boot_instant.h"
#include "usage/agreed_clock.h"
#include "usage/count_table.h"

namespace clementinerill::usage {

/// @brief Numbers of requests by the time at which they began, in units of
/// `kBeginUnit` of the boot clock, and by organisation.
using Batch = std::map<std::pair<int64_t, std::string>, int64_t>;

/// Accuracy of begin times. Counts of one unit may fall into the window beside
/// theirs, 0.1% of a window of 5 s.
inline constexpr std::chrono::milliseconds kBeginUnit{10};

/// @brief Adds a request that began at `begin` to a batch. Returns false if the
/// batch is full.
[[nodiscard]] bool AddRequest(Batch& batch,
                              const std::string& organisation,
                              BootInstant begin);

/// @brief The requests that this process has counted and not entered in its
/// table yet, because the daemons have not agreed on the time.
struct OwnCounter {
  std::string process_;
  BootInstant started_;
  Batch pending_;
  /// Last window that this process has marked.
  std::optional<int64_t> last_mark_;
  uint64_t dropped_ = 0;  ///< Requests dropped because a batch was full.
};

/// @brief Adds requests of this process.
void AddBatch(OwnCounter& counter, const Batch& batch);

/// @brief Enters the pending requests in `table`, once the time is agreed.
void EnterPending(OwnCounter& counter,
                  CountTable& table,
                  const AgreedClock& clock,
                  std::chrono::milliseconds window_length);

/// @brief Marks the windows that ended at least `settle` ago: by then all of
/// their requests have ended and are entered.
void MarkWindows(OwnCounter& counter,
                 CountTable& table,
                 const AgreedClock& clock,
                 std::chrono::milliseconds window_length,
                 std::chrono::milliseconds settle,
                 BootInstant now);

}  // namespace clementinerill::usage

#endif  // CLEMENTINERILL_USAGE_OWN_COUNTER_H_
