#ifndef CLEMENTINERILL_DAEMON_ADMISSION_CONTROL_H_
#define CLEMENTINERILL_DAEMON_ADMISSION_CONTROL_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "daemon/pool_admission.h"

namespace clementinerill {

/// @brief Admission control of all pools. Thread-safe.
class AdmissionControl {
 public:
  /// @brief Returns the admission control of a pool, created on first use.
  [[nodiscard]] std::shared_ptr<PoolAdmission> Of(const std::string& pool);

 private:
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<PoolAdmission>> pools_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_ADMISSION_CONTROL_H_
