#ifndef CLEMENTINERILL_GATEWAY_TRAFFIC_SERVER_H_
#define CLEMENTINERILL_GATEWAY_TRAFFIC_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "gateway/aggregator_pool.h"
#include "gateway/connection_pool.h"
#include "gateway/forward_header.h"
#include "gateway/forward_session.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_options.h"
#include "gateway/listener_limits.h"
#include "gateway/query_session.h"
#include "gateway/view_proof_report.h"
#include "http/event_loop.h"
#include "http/listener.h"
#include "traffic/fleet_state.h"
#include "traffic/start_query.h"
#include "traffic/view_proof_limit.h"

namespace clementinerill::gateway {

/// @brief The data plane of a daemon, run on the traffic thread: serves
/// callers, the balancer's health checks and operators, and connects to
/// replicas.
class TrafficServer {
 public:
  TrafficServer(http::EventLoop& loop,
                const GatewayOptions& options,
                GatewayMetrics& metrics);

  [[nodiscard]] Result<void> Listen();

  /// @brief Replaces the view of configuration and replicas.
  void SetView(std::shared_ptr<const traffic::TrafficView> view);

  /// @brief Sets the proof of the view that was set before.
  void SetViewProof(const organisations::ViewProof& proof) {
    fleet_.view_proof_ = proof;
  }

  /// @brief Applies the limits and the stop grace period of reloaded settings;
  /// addresses stay as they are.
  void SetSettings(const GatewayOptions& settings);

  /// @brief Called periodically with the version comparison of each rollout in
  /// progress.
  /// @brief Applies newer shares of target versions of rollouts.
  void SetVersionShares(const std::vector<traffic::VersionShare>& shares) {
    traffic::ApplyVersionShares(fleet_, shares);
  }

  using OnEvidence = std::function<void(const traffic::VersionComparison&)>;
  void SetOnEvidence(OnEvidence on_evidence) {
    on_evidence_ = std::move(on_evidence);
  }

  /// @brief Starts to count the requests of organisations.
  void SetOnUsage(UsageCounter::OnBatch on_batch) {
    context_.usage_.Start(loop_, std::move(on_batch));
  }

  /// @brief Sets what the status page shows of the reports of usage.
  void SetUsageStatus(traffic::UsageStatus status) {
    fleet_.usage_ = std::move(status);
  }

  /// @brief Starts a graceful shutdown; `stopped` is called when it is
  /// complete.
  ///
  /// Reports not ready immediately and keeps serving until the balancer has
  /// taken the daemon out of rotation. Requests in flight are answered.
  void Drain(std::function<void()> stopped);

 private:
  using Caller = std::shared_ptr<http::ServerConnection>;

  void OnRequest(const Caller& caller, http::HttpRequest request);
  void OnReadyCheck(const Caller& caller, const http::HttpRequest& request);
  void OnOperatorRequest(const Caller& caller,
                         const http::HttpRequest& request);
  void OnForwardedRequest(const Caller& caller, http::HttpRequest request);
  void Serve(const Caller& caller,
             http::HttpRequest request,
             const traffic::RouteRule& route,
             organisations::Credential credential);
  /// Forwards the query if an aggregator is usable, otherwise gathers it here.
  void Forward(ForwardedQuery query, Instant now);
  void OnNotForwarded(ForwardedQuery query, bool may_have_run);
  void GatherHere(ForwardedQuery query, bool may_have_run, Instant now);
  /// Parts of the queries in progress that this daemon gathers.
  [[nodiscard]] size_t CountPartsInProgress() const;
  void StartSession(const Caller& caller,
                    http::HttpRequest request,
                    const traffic::RouteRule& route,
                    Duration timeout,
                    const traffic::QueryOrigin& origin);
  [[nodiscard]] Duration RequestTimeout(const http::HttpRequest& request,
                                        const traffic::RouteRule& route) const;
  [[nodiscard]] bool IsReady() const {
    return !draining_ && traffic::CanServe(fleet_, http::EventLoop::BootNow());
  }
  void ApplyNewView();
  void Tick();
  void CheckDrain(Instant now);
  /// When a stopping daemon sends its last responses.
  [[nodiscard]] Instant ServeEnd() const;
  void ReportBuffers();
  void ReportRolloutEvidence();
  void RemoveExpiredSessions();

  http::EventLoop& loop_;
  const GatewayOptions& options_;
  GatewayMetrics& metrics_;
  traffic::FleetState fleet_;
  std::shared_ptr<const traffic::TrafficView> new_view_;  ///< Until applied.
  std::shared_ptr<BufferBudget> response_budget_;
  ListenerBudgets budgets_;
  uint64_t counted_refusals_ = 0;  ///< Of requests, in the metrics.
  uint64_t counted_drops_ = 0;     ///< Of responses to callers, likewise.
  uint64_t counted_closed_ = 0;    ///< Connections of callers, likewise.
  ConnectionPool pool_;
  AggregatorPool aggregators_;
  bool draining_ = false;
  SessionContext context_;
  http::Listener caller_listener_;
  http::Listener balancer_listener_;
  http::Listener operator_listener_;
  http::Listener forward_listener_;
  std::list<std::weak_ptr<QuerySession>> sessions_;
  std::list<std::weak_ptr<ForwardSession>> forwards_;
  Duration stop_grace_;  ///< From SIGTERM to SIGKILL.
  std::optional<Instant> drain_started_;
  std::function<void()> stopped_;
  OnEvidence on_evidence_;
  bool was_ready_ = false;
  ViewProofReport proof_report_{metrics_};
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_TRAFFIC_SERVER_H_
