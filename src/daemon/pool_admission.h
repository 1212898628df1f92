#ifndef CLEMENTINERILL_DAEMON_POOL_ADMISSION_H_
#define CLEMENTINERILL_DAEMON_POOL_ADMISSION_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "base/time.h"
#include "daemon/service_budgets.h"
#include "limits/admission_queue.h"
#include "limits/query_gate.h"
#include "routing/latency_window.h"
#include "sweep/attempt_kind.h"

namespace clementinerill {

/// @brief Admission and attempt budgets of one pool. Thread-safe.
class PoolAdmission {
 public:
  PoolAdmission();

  /// @brief Sets how many queries the slots of the pool can run at once.
  void SetCapacity(int queries);

  /// @brief Waits until a query is admitted, or refused without being run.
  /// @param caller_gone Polled while waiting; true ends the wait.
  [[nodiscard]] tl::expected<void, RefusalReason> Enter(
      RouteKind kind,
      Instant deadline,
      const std::function<bool()>& caller_gone);

  /// @brief Records the completion of an admitted query.
  void Leave(QueryCompletion end, Duration elapsed);

  /// @brief Whether the budgets of the service allow an attempt; always true
  /// for primaries.
  [[nodiscard]] bool MayStart(const std::string& service, AttemptKind kind);

  /// @brief Charges an attempt that is being started.
  void RecordStart(const std::string& service, AttemptKind kind);

 private:
  enum class WaitState { kWaiting, kAdmitted };
  struct Waiter {
    WaitState state_ = WaitState::kWaiting;
    std::optional<RefusalReason> refusal_;
    std::condition_variable changed_;
  };

  void AdmitWaiting(Instant now);
  void Refuse(const std::vector<RefusedEntry>& refused);
  [[nodiscard]] static bool IsDecided(const Waiter& waiter) noexcept;

  std::mutex mutex_;
  AdmissionQueue queue_;
  QueryGate gate_;
  std::map<std::string, ServiceBudgets> budgets_;
  LatencyWindow query_times_;
  Duration expected_service_time_{0};
  std::map<uint64_t, Waiter*> waiters_;
  uint64_t last_id_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_POOL_ADMISSION_H_
