#ifndef CLEMENTINERILL_DAEMON_DAEMON_H_
#define CLEMENTINERILL_DAEMON_DAEMON_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "base/result.h"
#include "cluster/control_plane.h"
#include "daemon/active_forwards.h"
#include "daemon/admin_server.h"
#include "daemon/attempt_runner.h"
#include "daemon/caller_server.h"
#include "daemon/daemon_options.h"
#include "daemon/dispatcher.h"
#include "daemon/explain_recorder.h"
#include "daemon/idempotency_table.h"
#include "daemon/query_engine.h"
#include "upstream/task_pool.h"

namespace clementinerill {

/// @brief A daemon: serves queries of callers by sending attempts to upstreams.
class Daemon {
 public:
  explicit Daemon(DaemonOptions options);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// @brief Starts serving; returns the caller port.
  [[nodiscard]] Result<uint16_t> Start();

  /// @brief The admin port; 0 before `Start`.
  [[nodiscard]] uint16_t AdminPort() const noexcept { return admin_port_; }

  /// @brief Shuts down gracefully: reports not ready, waits for
  /// `balancer_delay_` so that the load balancer notices, then waits for all
  /// requests in progress.
  void Stop();

 private:
  [[nodiscard]] QueryAnswer Serve(const QueryInput& input,
                                  const std::function<bool()>& caller_gone);
  /// Runs `answer_query` and records its answer in metrics, log and explain.
  [[nodiscard]] QueryAnswer Record(
      const QueryInput& input,
      const std::function<QueryAnswer(QueryTrace&)>& answer_query);
  [[nodiscard]] QueryAnswer Answer(const QueryInput& input,
                                   const std::string& generated_id,
                                   int hops,
                                   const std::function<bool()>& caller_gone,
                                   QueryTrace& trace);
  [[nodiscard]] std::string NextRequestId();
  [[nodiscard]] AdminReply ServeAdmin(const AdminRequest& request);
  [[nodiscard]] AdminReply ServeStatus() const;
  /// @brief Why the daemon is not ready; `kNone` when it is.
  [[nodiscard]] Reason NotReadyReason() const;
  void RunControl();
  void RunControlTick(int tick);
  void MaintainConnections();
  void ExchangeColdMarks();
  void ApplyAdvisory(const Advisory& advisory);
  void ApplySeats(std::shared_ptr<const PublishedSeats> seats);
  void ApplyTable(std::shared_ptr<const RoutingTable> table);
  void UpdateCapacities(Instant now);
  void ServeForward(const std::string& peer, const Forward& forward);
  [[nodiscard]] QueryAnswer RunLocally(const QueryRequest& request,
                                       const std::function<bool()>& caller_gone,
                                       QueryTrace& trace);
  [[nodiscard]] QueryAnswer Route(const QueryRequest& request,
                                  const std::string& body,
                                  int hops,
                                  const std::function<bool()>& caller_gone,
                                  QueryTrace& trace);

  const DaemonOptions options_;
  Dispatcher dispatcher_;
  TaskPool exchange_pool_;
  TaskPool control_pool_;
  TaskPool forward_pool_;
  AttemptRunner runner_;
  AdmissionControl admission_;
  DaemonMetrics metrics_;
  IdempotencyTable idempotency_;
  ActiveForwards active_forwards_;
  ControlPlane control_plane_;
  ExplainRecorder explain_;
  CallerServer caller_server_;
  AdminServer admin_server_;
  uint16_t admin_port_ = 0;
  std::thread control_thread_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> draining_{false};
  std::atomic<uint64_t> last_request_{0};
  std::atomic<bool> has_majority_{false};
  /// True once the seats acquired after the start are usable. Readiness waits
  /// for this, so that a rolling restart that waits for readiness never leaves
  /// a pool without a usable seat.
  std::atomic<bool> seats_settled_{false};
  Instant settle_at_;  ///< Used by the control thread only.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_DAEMON_H_
