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

/// @brief The next read of the configuration that the control thread requests.
struct StoreReadRequest {
  StoreRole role_ = StoreRole::kPoll;
  uint64_t known_version_ = 0;  ///< A watch returns only newer versions.
};

/// @brief Makes blocking requests to the platform on its own threads and queues
/// the results as events.
class StoreFollower {
 public:
  StoreFollower(const PlatformSettings& settings, EventQueue& events);
  ~StoreFollower();
  StoreFollower(const StoreFollower&) = delete;
  StoreFollower& operator=(const StoreFollower&) = delete;

  void Start();
  void Stop();

  /// @brief Requests one read of the configuration.
  /// @return False if another read is pending or running; the request is then
  /// ignored.
  bool RequestRead(const StoreReadRequest& request);

  [[nodiscard]] PlatformClient& Client() noexcept { return client_; }

 private:
  void RunReadLoop();
  void RunVmListLoop();

  PlatformClient client_;
  EventQueue& events_;
  std::mutex mutex_;
  std::condition_variable wakeup_;
  std::optional<StoreReadRequest> pending_request_;
  bool is_reading_ = false;
  bool stopping_ = false;
  std::thread read_thread_;
  std::thread vm_list_thread_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_STORE_FOLLOWER_H_
