#ifndef CLEMENTINERILL_GATEWAY_FORWARD_SESSION_H_
#define CLEMENTINERILL_GATEWAY_FORWARD_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/forward_exchange.h"
#include "gateway/query_session.h"
#include "http/server_connection.h"
#include "traffic/traffic_view.h"

namespace clementinerill::gateway {

/// @brief A query to forward to an aggregator.
struct ForwardedQuery {
  std::string id_;
  std::string organisation_;                     ///< See `traffic::Query`.
  std::optional<organisations::KeyDigest> key_;  ///< See `traffic::Query`.
  std::shared_ptr<http::ServerConnection> caller_;
  http::HttpRequest request_;
  std::shared_ptr<const traffic::TrafficView> view_;  ///< Keeps `route_` alive.
  const traffic::RouteRule* route_ = nullptr;
  Instant started_{};   ///< When this daemon received the query.
  Instant deadline_{};  ///< The caller's or the route's, whichever is earlier.
  int tries_ = 0;       ///< Aggregators that it was sent to.
};

/// @brief Forwards one query to an aggregator and passes its response on.
///
/// If the aggregator refuses or does not confirm the start in time, the query
/// is handed back to the owner. A failure after the start ends the query.
class ForwardSession : public std::enable_shared_from_this<ForwardSession> {
 public:
  /// @brief Takes back a query that was not gathered. With `may_have_run` the
  /// aggregator may have sent it to replicas already; otherwise another one may
  /// be asked.
  using GatherHere = std::function<void(ForwardedQuery, bool may_have_run)>;

  ForwardSession(SessionContext& context,
                 ForwardedQuery query,
                 AggregatorPool::Lease lease,
                 GatherHere gather_here);

  void Start();

  /// @brief Answers a query that has no outcome yet, before the process exits.
  void Abort();

 private:
  /// Runs a step of the query; an exception ends the query.
  template <typename Task>
  void Contain(Task&& task) {
    context_.loop_.Guard().Run(http::HandlerKind::kQuery, task,
                               [this] { OnException(); });
  }
  void OnException();
  void Send(Instant now);
  void OnResult(ForwardResult result);
  void OnCallerDisconnected();
  /// Counts the query for its organisation, if the aggregator has started it.
  void Count(const ForwardResult& result);
  void Fail(int status);
  void Respond(http::HttpResponse response);
  void LogEnd(traffic::ForwardOutcome outcome, Instant now) const;

  SessionContext& context_;
  ForwardedQuery query_;  ///< Given away when it is handed back.
  const std::shared_ptr<http::ServerConnection> caller_;
  std::shared_ptr<ForwardExchange> exchange_;
  const GatherHere gather_here_;
  bool is_open_ = true;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_FORWARD_SESSION_H_
