#ifndef CLEMENTINERILL_FAKES_PLATFORM_CALL_COUNTER_H_
#define CLEMENTINERILL_FAKES_PLATFORM_CALL_COUNTER_H_

#include <cstdint>
#include <mutex>

#include "base/time.h"
#include "fakes/platform/call_counts.h"

namespace clementinerill {

/// @brief Counts calls by type. Thread-safe.
class CallCounter {
 public:
  /// @brief Counts one call in `member`, for example `&CallCounts::puts_`.
  void Count(uint64_t CallCounts::*member, Instant now);

  [[nodiscard]] CallCounts Counts() const;

 private:
  mutable std::mutex mutex_;
  CallCounts counts_;
  Instant second_start_;
  uint64_t calls_in_second_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_CALL_COUNTER_H_
