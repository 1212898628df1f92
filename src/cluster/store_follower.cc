#include "cluster/store_follower.h"

#include <chrono>
#include <utility>

namespace clementinerill {
namespace {

constexpr const char* kConfigurationKey = "config/main";
constexpr auto kWatchWait = std::chrono::seconds(10);
constexpr auto kCallDeadline = std::chrono::seconds(2);
// Daemons must see a change of the list within a second of each other, so that
// a change of the roster does not outlast the leases of seats.
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
  reads_ = std::thread([this] { RunReads(); });
  vm_list_ = std::thread([this] { RunVmList(); });
}

void StoreFollower::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  client_.Stop();
  for (std::thread* thread : {&reads_, &vm_list_}) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

bool StoreFollower::Order(const StoreOrder& order) {
  const std::lock_guard lock(mutex_);
  if (busy_ || order_) {
    return false;
  }
  order_ = order;
  changed_.notify_all();
  return true;
}

void StoreFollower::RunReads() {
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return stopping_ || order_; });
    if (stopping_) {
      return;
    }
    const StoreOrder order = *std::exchange(order_, std::nullopt);
    busy_ = true;
    lock.unlock();
    const bool watch = order.role_ == StoreRole::kWatch;
    ReadOutcome outcome =
        watch
            ? client_.Watch(kConfigurationKey, order.above_version_, kWatchWait)
            : client_.Get(kConfigurationKey, Now() + kCallDeadline);
    events_.Push(StoreReadEvent{std::move(outcome)});
    lock.lock();
    busy_ = false;
  }
}

void StoreFollower::RunVmList() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    auto vms = client_.ListVms(Now() + kCallDeadline);
    if (vms) {
      events_.Push(VmListEvent{std::move(*vms)});
    }
    lock.lock();
    changed_.wait_for(lock, kVmListInterval, [this] { return stopping_; });
  }
}

}  // namespace clementinerill
