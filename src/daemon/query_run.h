#ifndef CLEMENTINERILL_DAEMON_QUERY_RUN_H_
#define CLEMENTINERILL_DAEMON_QUERY_RUN_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "daemon/attempt_runner.h"
#include "daemon/pool_admission.h"
#include "daemon/query_engine.h"
#include "daemon/query_request.h"
#include "daemon/query_trace.h"
#include "sweep/query_answer.h"
#include "sweep/query_state.h"
#include "sweep/query_step.h"

namespace clementinerill {

/// @brief Executes the actions of one query until it is finished.
class QueryRun {
 public:
  QueryRun(const QueryRequest& request,
           const QueryContext& context,
           PoolAdmission& admission);

  /// @brief Runs the query to completion and traces its attempts. Must be
  /// called only once.
  [[nodiscard]] QueryAnswer Run(const std::function<bool()>& caller_gone,
                                QueryTrace& trace);

 private:
  [[nodiscard]] bool Prepare();
  [[nodiscard]] bool Execute(const QueryAction& action,
                             Instant now,
                             QueryTrace& trace);
  void StartAttempt(const QueryAction& action, Instant now);
  void DeclineForBudget(const QueryAction& action, Instant now);
  void Decline(const QueryAction& action, Reason reason, Instant now);
  void CancelAttempt(const QueryAction& action);
  void RestartQuery(QueryTrace& trace);
  void HandleAttemptEvent(AttemptEvent event, Instant now);
  [[nodiscard]] ExchangeRequest MakeExchange(size_t part, size_t attempt) const;

  const QueryRequest& request_;
  const QueryContext& context_;
  PoolAdmission& admission_;
  QueryState state_;
  QueryPolicy policy_;
  std::string body_;
  std::shared_ptr<Mailbox> mailbox_;
  std::map<std::pair<size_t, size_t>, std::shared_ptr<RunningAttempt>> running_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_QUERY_RUN_H_
