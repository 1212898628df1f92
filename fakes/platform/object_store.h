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

/// @brief In-memory object store of the fake platform. Thread-safe.
///
/// Versions come from one monotonic counter shared by all objects.
class ObjectStore {
 public:
  /// @brief The object; version 0 if it doesn't exist.
  [[nodiscard]] StoredObject Get(const std::string& key) const;

  /// @brief Writes `value` if `condition` holds.
  [[nodiscard]] PutResult Put(const std::string& key,
                              std::string value,
                              PutCondition condition);

  /// @brief Long-polls for a version newer than `version`.
  ///
  /// Returns the current object when it changes, when `timeout` expires or when
  /// `Interrupt` is called.
  [[nodiscard]] StoredObject Watch(const std::string& key,
                                   uint64_t version,
                                   std::chrono::milliseconds timeout);

  /// @brief Ends all pending watches.
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
