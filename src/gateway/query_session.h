#ifndef CLEMENTINERILL_GATEWAY_QUERY_SESSION_H_
#define CLEMENTINERILL_GATEWAY_QUERY_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/forward_exchange.h"
#include "gateway/session_context.h"
#include "http/client_connection.h"
#include "http/event_loop.h"
#include "http/server_connection.h"
#include "traffic/advance_query.h"
#include "traffic/record_attempt_outcome.h"

namespace clementinerill::gateway {

/// @brief Serves one request: carries out the decisions of `traffic::Advance`
/// with sockets and timers until the caller has its response.
///
/// Stays alive until its last attempt has ended, so that late responses return
/// their connection to the pool and count in the statistics of their replica.
class QuerySession : public std::enable_shared_from_this<QuerySession> {
 public:
  QuerySession(SessionContext& context,
               std::shared_ptr<http::ServerConnection> caller,
               http::HttpRequest request,
               traffic::Query query);

  void Start();

  /// @brief Answers a query that has no outcome yet, before the process exits:
  /// as refused if no attempt may have been executed, else as timed out.
  void Abort();

  /// @brief Parts without an outcome that this daemon gathers.
  [[nodiscard]] size_t PartsInProgress() const noexcept;

  [[nodiscard]] bool IsOpen() const noexcept {
    return query_.outcome_ == traffic::QueryOutcome::kOpen;
  }

 private:
  struct RunningAttempt {
    traffic::SendAction action_;
    std::shared_ptr<http::ClientConnection> connection_;
  };

  /// Runs a step of the query; an exception ends the query.
  template <typename Task>
  void Contain(Task&& task) {
    context_.loop_.Guard().Run(http::HandlerKind::kQuery, task,
                               [this] { OnException(); });
  }
  void OnException();
  void EndAttempts(Instant now);
  void Step();
  void Send(traffic::SendAction action, Instant now);
  /// Returns the bytes of an attempt; none if it must not be sent any more.
  [[nodiscard]] std::optional<std::string> RequestFor(
      traffic::SendAction action,
      Instant now);
  void StartDelegations(Instant now);
  void StartDelegation(size_t index, int tries_left, Instant now);
  void OnDelegation(size_t index, int tries_left, ForwardResult result);
  void RecordDelegation(size_t index, ForwardResult result);
  void CancelDelegations();
  void OnExchange(traffic::SendAction action, http::ExchangeResult result);
  void ArmTimer();
  void OnTimer();
  void OnCallerDisconnected();
  void Respond(Instant now);
  void CloseRunningAttempts(traffic::AttemptOutcome outcome, Instant now);
  /// Closes the attempts of which no byte has been sent.
  void CloseUnsentAttempts(traffic::AttemptOutcome outcome, Instant now);
  void CloseAttempt(const RunningAttempt& attempt,
                    traffic::AttemptOutcome outcome,
                    Instant now);
  void ReleaseResponses();
  void CountUnansweredParts();
  void RecordEnd(int status, Instant now) const;

  SessionContext& context_;
  std::shared_ptr<http::ServerConnection> caller_;
  http::HttpRequest request_;
  traffic::Query query_;
  std::vector<RunningAttempt> running_;
  std::vector<std::shared_ptr<ForwardExchange>> delegated_;
  std::optional<http::TimerQueue::Id> timer_;
  bool is_answered_ = false;  ///< The caller has its response or has left.
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_QUERY_SESSION_H_
