#include "daemon/admission_control.h"

namespace clementinerill {

std::shared_ptr<PoolAdmission> AdmissionControl::Of(const std::string& pool) {
  const std::lock_guard lock(mutex_);
  auto& admission = pools_[pool];
  if (!admission) {
    admission = std::make_shared<PoolAdmission>();
  }
  return admission;
}

}  // namespace clementinerill
