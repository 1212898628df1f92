#ifndef CLEMENTINERILL_FAKES_PLATFORM_FAKE_PLATFORM_STATE_H_
#define CLEMENTINERILL_FAKES_PLATFORM_FAKE_PLATFORM_STATE_H_

#include <mutex>
#include <string>

#include "fakes/platform/call_counter.h"
#include "fakes/platform/fault.h"
#include "fakes/platform/lagging_list.h"
#include "fakes/platform/object_store.h"

namespace clementinerill {

/// @brief State of one fake platform, shared by its request handlers.
class FakePlatformState {
 public:
  explicit FakePlatformState(std::string token);

  /// @brief Sets the fault; `kDown` also ends pending watches.
  void SetFault(Fault fault);

  [[nodiscard]] Fault CurrentFault() const;

  /// @brief Returns the fault for one call and decrements its `count_`.
  ///
  /// `kLoseAnswers` applies, and is counted, only if `is_write` is true.
  [[nodiscard]] Fault TakeFault(bool is_write);

  [[nodiscard]] ObjectStore& Objects() noexcept { return objects_; }
  [[nodiscard]] LaggingList& Vms() noexcept { return vms_; }
  [[nodiscard]] CallCounter& Calls() noexcept { return calls_; }
  [[nodiscard]] const std::string& Token() const noexcept { return token_; }

 private:
  mutable std::mutex mutex_;
  Fault fault_;
  std::string token_;
  ObjectStore objects_;
  LaggingList vms_;
  CallCounter calls_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_FAKE_PLATFORM_STATE_H_
