#ifndef CLEMENTINERILL_GATEWAY_QUERY_SESSION_H_
#define CLEMENTINERILL_GATEWAY_QUERY_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "gateway/connection_pool.h"
#include "gateway/gateway_metrics.h"
#include "gateway/wire_names.h"
#include "http/client_connection.h"
#include "http/event_loop.h"
#include "http/server_connection.h"
#include "traffic/advance_query.h"

namespace clementinerill::gateway {

/// @brief What all sessions of a traffic thread share.
struct SessionContext {
  http::EventLoop& loop_;
  traffic::FleetState& fleet_;
  ConnectionPool& pool_;
  const WireNames& names_;
  GatewayMetrics& metrics_;
  const bool& draining_;
};

/// @brief Serves one request: runs the decisions of `traffic::Advance` on
/// sockets and timers until the caller has its answer.
///
/// Lives on until its last attempt has ended, so that late answers free their
/// connection and are learned from.
class QuerySession : public std::enable_shared_from_this<QuerySession> {
 public:
  QuerySession(SessionContext& context,
               std::shared_ptr<http::ServerConnection> caller,
               http::HttpRequest request,
               traffic::Query query);

  void Start();

  /// @brief Ends the query when it has no outcome yet, for the end of the
  /// process.
  void GiveUp();

  [[nodiscard]] bool IsOpen() const noexcept {
    return query_.outcome_ == traffic::QueryOutcome::kOpen;
  }

 private:
  struct RunningAttempt {
    traffic::SendAction action_;
    std::shared_ptr<http::ClientConnection> connection_;
  };

  void Step();
  void Send(traffic::SendAction action, Instant now);
  [[nodiscard]] http::ExchangeRequest MakeExchange(
      const traffic::ReplicaState& replica,
      Instant now) const;
  void OnExchange(traffic::SendAction action, http::ExchangeResult result);
  [[nodiscard]] traffic::AttemptOutcome Classify(
      const http::ExchangeResult& result) const;
  void Learn(traffic::ReplicaState& replica,
             const http::HttpResponse& answer,
             Instant now) const;
  void ArmTimer();
  void OnCallerLeft();
  void Answer(Instant now);
  void AbandonOpen(traffic::AttemptOutcome outcome, Instant now);
  void CountUnansweredParts();
  void LogEnd(int status, Instant now) const;

  SessionContext& context_;
  std::shared_ptr<http::ServerConnection> caller_;
  http::HttpRequest request_;
  traffic::Query query_;
  std::vector<RunningAttempt> running_;
  std::optional<http::TimerQueue::Id> timer_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_QUERY_SESSION_H_
