#ifndef CLEMENTINERILL_FAKES_PLATFORM_OBJECT_STORE_H_
#define CLEMENTINERILL_FAKES_PLATFORM_OBJECT_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "fakes/platform/put_condition.h"
#include "fakes/platform/put_result.h"
#include "fakes/platform/stored_object.h"

namespace clementinerill {

/// @brief The objects of the fake platform, in memory and safe to share.
///
/// All objects share one version counter that only rises.
class ObjectStore {
 public:
  /// @brief The object, with version 0 when it doesn't exist.
  [[nodiscard]] StoredObject Get(const std::string& key) const;

  /// @brief Writes `value` if `condition` holds.
  [[nodiscard]] PutResult Put(const std::string& key,
                              std::string value,
                              PutCondition condition);

  /// @brief Waits until the object is newer than `version`.
  ///
  /// Returns the object as it is after at most `timeout`, or at once when
  /// `Interrupt` is called.
  [[nodiscard]] StoredObject Watch(const std::string& key,
                                   uint64_t version,
                                   std::chrono::milliseconds timeout);

  /// @brief Ends all waiting watches.
  void Interrupt();

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, StoredObject> objects_;
  uint64_t last_version_ = 0;
  uint64_t interrupts_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_OBJECT_STORE_H_
