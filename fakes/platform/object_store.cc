#include "fakes/platform/object_store.h"

#include <utility>

namespace clementinerill {

StoredObject ObjectStore::Get(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto found = objects_.find(key);
  return found == objects_.end() ? StoredObject{} : found->second;
}

PutResult ObjectStore::Put(const std::string& key,
                           std::string value,
                           PutCondition condition) {
  const std::lock_guard lock(mutex_);
  const auto found = objects_.find(key);
  const uint64_t current = found == objects_.end() ? 0 : found->second.version_;
  if (condition.version_ && *condition.version_ != current) {
    return {false, current};
  }
  ++last_version_;
  objects_[key] = {last_version_, std::move(value)};
  changed_.notify_all();
  return {true, last_version_};
}

StoredObject ObjectStore::Watch(const std::string& key,
                                uint64_t version,
                                std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  const uint64_t interrupts = interrupts_;
  changed_.wait_for(lock, timeout, [&] {
    const auto found = objects_.find(key);
    const bool newer =
        found != objects_.end() && found->second.version_ > version;
    return newer || interrupts_ != interrupts;
  });
  const auto found = objects_.find(key);
  return found == objects_.end() ? StoredObject{} : found->second;
}

void ObjectStore::Interrupt() {
  const std::lock_guard lock(mutex_);
  ++interrupts_;
  changed_.notify_all();
}

}  // namespace clementinerill
