#ifndef CLEMENTINERILL_CLUSTER_STORE_FOLLOWER_H_
#define CLEMENTINERILL_CLUSTER_STORE_FOLLOWER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <thread>

#include "cluster/event_queue.h"
#include "control/store_role.h"
#include "platform/platform_client.h"

namespace clementinerill {

/// @brief What the control thread wants from the store next.
struct StoreOrder {
  StoreRole role_ = StoreRole::kPoll;
  uint64_t above_version_ = 0;  ///< Versions up to this one are known.
};

/// @brief Carries out blocking calls to the platform and reports the results.
class StoreFollower {
 public:
  StoreFollower(const PlatformSettings& settings, EventQueue& events);
  ~StoreFollower();
  StoreFollower(const StoreFollower&) = delete;
  StoreFollower& operator=(const StoreFollower&) = delete;

  void Start();
  void Stop();

  /// @brief Orders one read of the configuration; ignored while one runs.
  /// @return Whether the order was taken.
  bool Order(const StoreOrder& order);

  [[nodiscard]] PlatformClient& Client() noexcept { return client_; }

 private:
  void RunReads();
  void RunVmList();

  PlatformClient client_;
  EventQueue& events_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<StoreOrder> order_;
  bool busy_ = false;
  bool stopping_ = false;
  std::thread reads_;
  std::thread vm_list_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_STORE_FOLLOWER_H_
