#include "fakes/platform/fake_platform_state.h"

#include <utility>

namespace clementinerill {

FakePlatformState::FakePlatformState(std::string token)
    : token_(std::move(token)) {}

void FakePlatformState::SetFault(Fault fault) {
  {
    const std::lock_guard lock(mutex_);
    fault_ = fault;
  }
  if (fault.mode_ == FaultMode::kDown) {
    objects_.Interrupt();
  }
}

Fault FakePlatformState::CurrentFault() const {
  const std::lock_guard lock(mutex_);
  return fault_;
}

Fault FakePlatformState::TakeFault(bool is_write) {
  const std::lock_guard lock(mutex_);
  if (fault_.mode_ == FaultMode::kLoseAnswers && !is_write) {
    return {};
  }
  const Fault fault = fault_;
  if (fault_.count_ > 0 && --fault_.count_ == 0) {
    fault_ = {};
  }
  return fault;
}

}  // namespace clementinerill
