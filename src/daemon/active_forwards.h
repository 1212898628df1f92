#ifndef CLEMENTINERILL_DAEMON_ACTIVE_FORWARDS_H_
#define CLEMENTINERILL_DAEMON_ACTIVE_FORWARDS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace clementinerill {

/// @brief Cancellation flags of queries that peers forwarded to this daemon.
/// Thread-safe.
class ActiveForwards {
 public:
  using Flag = std::shared_ptr<std::atomic<bool>>;

  /// @brief Registers a forwarded query. The flag is set when it is cancelled.
  [[nodiscard]] Flag Add(const std::string& peer, uint64_t id) {
    const std::lock_guard lock(mutex_);
    return flags_[{peer, id}] = std::make_shared<std::atomic<bool>>(false);
  }

  void Cancel(const std::string& peer, uint64_t id) {
    const std::lock_guard lock(mutex_);
    const auto found = flags_.find({peer, id});
    if (found != flags_.end()) {
      *found->second = true;
    }
  }

  void Remove(const std::string& peer, uint64_t id) {
    const std::lock_guard lock(mutex_);
    flags_.erase({peer, id});
  }

 private:
  std::mutex mutex_;
  std::map<std::pair<std::string, uint64_t>, Flag> flags_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_ACTIVE_FORWARDS_H_
