#ifndef CLEMENTINERILL_DAEMON_DISPATCHER_H_
#define CLEMENTINERILL_DAEMON_DISPATCHER_H_

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/time.h"
#include "config/route.h"
#include "daemon/cold_mark.h"
#include "daemon/dispatch_grant.h"
#include "daemon/mailbox.h"
#include "daemon/upstream_status.h"
#include "routing/pool_seats.h"
#include "routing/routing_table.h"
#include "sweep/query_policy.h"
#include "sweep/reason.h"
#include "upstream/exchange_result.h"

namespace clementinerill {

/// @brief The requirements of one attempt.
struct DispatchRequest {
  const Route& route_;
  const std::string& service_;
  const std::vector<std::string>& tried_;  ///< Upstreams already tried.
  const std::optional<Snapshot>& snapshot_;
};

/// @brief Assigns the slots of this daemon to its queries. Thread-safe.
class Dispatcher {
 public:
  /// @brief Applies a new routing table.
  ///
  /// An upstream is treated as cold if it was closed and is open again, is
  /// added to a known pool, or has a new address.
  void Apply(std::shared_ptr<const RoutingTable> table, Instant now);

  /// @brief Sets the seats of this daemon. Called after each heartbeat.
  void SetSeats(std::shared_ptr<const PublishedSeats> seats);

  /// @brief The seats of a pool; empty when there are none.
  [[nodiscard]] PoolSeats SeatsOf(const std::string& pool) const;

  /// @brief Fan-out queries of the pool that the slots of this daemon can run
  /// at once.
  [[nodiscard]] int SweepCapacity(const std::string& pool, Instant now) const;

  /// @brief The table in force, or null before the first one.
  [[nodiscard]] std::shared_ptr<const RoutingTable> Table() const;

  /// @brief Reserves a slot at the best upstream for an attempt.
  /// @return The grant, or the reason why there is none.
  [[nodiscard]] tl::expected<DispatchGrant, Reason> Grant(
      const DispatchRequest& request,
      Instant now);

  /// @brief Wakes `waiter` when a slot of the service is released.
  void AddWaiter(const std::string& service,
                 const std::shared_ptr<Mailbox>& waiter);

  /// @brief Releases a slot. A second call for the same grant has no effect.
  void Release(const DispatchGrant& grant, Instant now);

  /// @brief Updates the state of the upstream from the result of an attempt.
  ///
  /// Releases the slot if the upstream has responded.
  void Observe(const DispatchGrant& grant,
               const ExchangeResult& result,
               Duration elapsed,
               Instant now);

  /// @brief Updates the state of the upstream from the headers of a probe
  /// response.
  void ObserveSignals(UpstreamState& upstream,
                      const UpstreamSignals& signals,
                      Instant now);

  /// @brief Replicas that this daemon has seen turn cold or warm since the
  /// last call, to be sent to the other daemons.
  [[nodiscard]] std::vector<ColdMark> TakeColdMarks();

  /// @brief Applies a mark from another daemon. An outdated mark has no effect.
  ///
  /// A mark of an upstream that is not in the table is kept until the upstream
  /// is added.
  void ApplyColdMark(const ColdMark& mark, Instant now);

  /// @brief The newest snapshot that every service of the route offers.
  [[nodiscard]] std::optional<Snapshot> NewestSnapshot(const Route& route);

  /// @brief Limits for a query of the pool, from recent latencies.
  [[nodiscard]] QueryPolicy PolicyFor(const std::string& pool);

  /// @brief Recomputes policies from the latencies and shares of connections
  /// from the seats.
  void Maintain(Instant now);

  /// @brief All upstreams of the table.
  [[nodiscard]] std::vector<std::shared_ptr<UpstreamState>> Upstreams() const;

  /// @brief The status of each upstream, ordered by name.
  [[nodiscard]] std::vector<UpstreamStatus> Status(Instant now) const;

 private:
  [[nodiscard]] std::shared_ptr<UpstreamState>
  StateFor(const RoutingTarget& target, bool is_new_pool, Instant now);
  void ApplyPool(const RoutingTable& table,
                 const RoutingPool& pool,
                 Instant now);
  void ApplyTarget(const WarmupLimits& limits,
                   const RoutingPool& pool,
                   const RoutingTarget& target,
                   UpstreamState& state,
                   Instant now);
  void RampReturnedDomains(const RoutingPool& pool,
                           const std::set<std::string>& reopened,
                           Instant now);
  /// Updates the state that depends on the seats usable at `now`.
  static void UpdateSeatState(const RoutingPool& pool,
                              const PoolSeats& seats,
                              UpstreamState& state,
                              Instant now);
  [[nodiscard]] bool IsColdAttemptDue(const DispatchRequest& request);
  void UpdateColdAdmission(const RoutingService& service);
  [[nodiscard]] const RoutingService* ServiceOf(
      const UpstreamState& state) const;
  [[nodiscard]] std::vector<const LatencyTracker*> SiblingsOf(
      const UpstreamState& state) const;
  void RecordWarmupChange(UpstreamState& state, uint64_t generation_before);
  void FreeSlotLocked(const DispatchGrant& grant,
                      const ResponseSignals& signals,
                      Instant now);
  void WakeWaiter(const std::string& service);
  void UpdatePolicies();
  void UpdateConnections(Instant now);
  [[nodiscard]] const PoolSeats& SeatsOfLocked(const std::string& pool) const;

  mutable std::mutex mutex_;
  std::shared_ptr<const RoutingTable> table_;
  std::shared_ptr<const PublishedSeats> seats_ =
      std::make_shared<const PublishedSeats>();
  std::map<std::string, std::shared_ptr<UpstreamState>> upstreams_;
  std::map<std::string, std::deque<std::weak_ptr<Mailbox>>> waiters_;
  std::map<std::string, QueryPolicy> policies_;
  std::map<std::string, std::shared_ptr<DomainRamp>> domains_;
  std::map<std::string, uint64_t> first_attempts_;  ///< By service.
  std::set<std::string> changed_marks_;  ///< Upstreams not yet reported.
  std::map<std::string, ColdMark> pending_marks_;
  uint64_t last_token_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_DISPATCHER_H_
