#include "cluster/store_follower.h"

#include <chrono>
#include <utility>

namespace clementinerill {
namespace {

constexpr const char* kConfigurationKey = "config/main";
constexpr auto kWatchTimeout = std::chrono::seconds(10);
constexpr auto kRequestTimeout = std::chrono::seconds(2);
// All daemons must see a change of the VM list within one second of each other,
// so that a roster change does not outlast the seat leases.
constexpr auto kVmListInterval = std::chrono::milliseconds(500);

Instant Now() noexcept {
  return std::chrono::steady_clock::now();
}

}  // namespace

StoreFollower::StoreFollower(const PlatformSettings& settings,
                             EventQueue& events)
    : client_(settings), events_(events) {}

StoreFollower::~StoreFollower() {
  Stop();
}

void StoreFollower::Start() {
  read_thread_ = std::thread([this] { RunReadLoop(); });
  vm_list_thread_ = std::thread([this] { RunVmListLoop(); });
}

void StoreFollower::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wakeup_.notify_all();
  client_.Stop();
  for (std::thread* thread : {&read_thread_, &vm_list_thread_}) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

bool StoreFollower::RequestRead(const StoreReadRequest& request) {
  const std::lock_guard lock(mutex_);
  if (is_reading_ || pending_request_) {
    return false;
  }
  pending_request_ = request;
  wakeup_.notify_all();
  return true;
}

void StoreFollower::RunReadLoop() {
  std::unique_lock lock(mutex_);
  while (true) {
    wakeup_.wait(lock, [this] { return stopping_ || pending_request_; });
    if (stopping_) {
      return;
    }
    const StoreReadRequest request =
        *std::exchange(pending_request_, std::nullopt);
    is_reading_ = true;
    lock.unlock();
    const bool watch = request.role_ == StoreRole::kWatch;
    ReadOutcome outcome =
        watch ? client_.Watch(kConfigurationKey, request.known_version_,
                              kWatchTimeout)
              : client_.Get(kConfigurationKey, Now() + kRequestTimeout);
    events_.Push(StoreReadEvent{std::move(outcome)});
    lock.lock();
    is_reading_ = false;
  }
}

void StoreFollower::RunVmListLoop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    auto vms = client_.ListVms(Now() + kRequestTimeout);
    if (vms) {
      events_.Push(VmListEvent{std::move(*vms)});
    }
    lock.lock();
    wakeup_.wait_for(lock, kVmListInterval, [this] { return stopping_; });
  }
}

}  // namespace clementinerill
