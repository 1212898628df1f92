#ifndef CLEMENTINERILL_DAEMON_ATTEMPT_RUNNER_H_
#define CLEMENTINERILL_DAEMON_ATTEMPT_RUNNER_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "daemon/dispatch_grant.h"
#include "daemon/dispatcher.h"
#include "daemon/mailbox.h"
#include "upstream/exchange_request.h"
#include "upstream/task_pool.h"

namespace clementinerill {

/// @brief One attempt that is queued or running on the exchange threads.
struct RunningAttempt {
  DispatchGrant grant_;
  ExchangeRequest request_;
  std::shared_ptr<Mailbox> mailbox_;
  int generation_ = 0;
  size_t part_ = 0;
  size_t attempt_ = 0;

  std::mutex mutex_;        ///< Guards the members below.
  bool cancelled_ = false;  ///< Cancellation was requested.
  bool cancel_confirmed_ = false;
  bool ended_ = false;          ///< The exchange is over.
  uint64_t connection_id_ = 0;  ///< Zero until a connection is assigned.
};

/// @brief Runs attempts on exchange threads and cancels them upstream.
class AttemptRunner {
 public:
  AttemptRunner(Dispatcher& dispatcher,
                TaskPool& exchange_pool,
                TaskPool& control_pool);

  /// @brief Starts an attempt. Its result is posted to the mailbox exactly
  /// once.
  void Start(std::shared_ptr<RunningAttempt> attempt);

  /// @brief Asks the upstream to stop an attempt.
  ///
  /// The slot is released once the exchange has ended and the upstream has
  /// responded or confirmed the cancellation.
  void Cancel(std::shared_ptr<RunningAttempt> attempt);

  /// @brief Resends cancellations that an upstream has not confirmed yet.
  void RetryCancellations();

 private:
  void Run(const std::shared_ptr<RunningAttempt>& attempt);
  [[nodiscard]] ExchangeResult Exchange(RunningAttempt& attempt);
  void CancelUnanswered(const std::shared_ptr<RunningAttempt>& attempt);
  void PostCancel(std::shared_ptr<RunningAttempt> attempt);
  [[nodiscard]] bool SendCancel(RunningAttempt& attempt);
  void RecordCancelConfirmed(RunningAttempt& attempt);

  Dispatcher& dispatcher_;
  TaskPool& exchange_pool_;
  TaskPool& control_pool_;
  std::mutex mutex_;  ///< Guards `unconfirmed_`.
  std::vector<std::shared_ptr<RunningAttempt>> unconfirmed_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_ATTEMPT_RUNNER_H_
