#ifndef CLEMENTINERILL_FAKES_PLATFORM_LAGGING_LIST_H_
#define CLEMENTINERILL_FAKES_PLATFORM_LAGGING_LIST_H_

#include <chrono>
#include <deque>
#include <mutex>
#include <string>
#include <utility>

#include "base/time.h"

namespace clementinerill {

/// @brief A text that readers see some time after it was set.
class LaggingList {
 public:
  /// @brief Sets the text that readers see once the lag has passed.
  void Set(std::string text, Instant now);

  /// @brief Sets the lag of later and pending texts.
  void SetLag(std::chrono::milliseconds lag);

  /// @brief The newest text that is at least as old as the lag.
  [[nodiscard]] std::string Get(Instant now) const;

 private:
  mutable std::mutex mutex_;
  std::chrono::milliseconds lag_{0};
  std::deque<std::pair<Instant, std::string>> texts_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_LAGGING_LIST_H_
