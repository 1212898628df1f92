#ifndef CLEMENTINERILL_FAKES_PLATFORM_LAGGING_LIST_H_
#define CLEMENTINERILL_FAKES_PLATFORM_LAGGING_LIST_H_

#include <chrono>
#include <deque>
#include <mutex>
#include <string>
#include <utility>

#include "base/time.h"

namespace clementinerill {

/// @brief An eventually consistent value: reads lag behind writes.
class LaggingList {
 public:
  /// @brief Sets the text that becomes visible to reads after the lag.
  void Set(std::string text, Instant now);

  /// @brief Sets the lag, also for texts that are not visible yet.
  void SetLag(std::chrono::milliseconds lag);

  /// @brief The newest text at least as old as the lag; `[]` if there is none.
  [[nodiscard]] std::string Get(Instant now) const;

 private:
  mutable std::mutex mutex_;
  std::chrono::milliseconds lag_{0};
  std::deque<std::pair<Instant, std::string>> texts_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_LAGGING_LIST_H_
