#ifndef CLEMENTINERILL_DAEMON_DISPATCHER_H_
#define CLEMENTINERILL_DAEMON_DISPATCHER_H_

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/time.h"
#include "config/route.h"
#include "daemon/dispatch_grant.h"
#include "daemon/mailbox.h"
#include "daemon/upstream_status.h"
#include "routing/pool_seats.h"
#include "routing/routing_table.h"
#include "sweep/query_policy.h"
#include "sweep/reason.h"
#include "upstream/exchange_result.h"

namespace clementinerill {

/// @brief What one attempt needs.
struct DispatchRequest {
  const Route& route_;
  const std::string& service_;
  const std::vector<std::string>& tried_;  ///< Upstreams used by the part.
  const std::optional<Snapshot>& snapshot_;
};

/// @brief Shares out the slots of this daemon among its queries. Thread-safe.
class Dispatcher {
 public:
  /// @brief Takes over a new routing table.
  void Apply(std::shared_ptr<const RoutingTable> table);

  /// @brief Takes over the seats of this daemon; called after each heartbeat.
  void SetSeats(std::shared_ptr<const PublishedSeats> seats);

  /// @brief The seats of a pool; empty when there are none.
  [[nodiscard]] PoolSeats SeatsOf(const std::string& pool) const;

  /// @brief Sweeps of the pool that the slots of this daemon can run at once.
  [[nodiscard]] int SweepCapacity(const std::string& pool, Instant now) const;

  /// @brief The table in force, or null before the first one.
  [[nodiscard]] std::shared_ptr<const RoutingTable> Table() const;

  /// @brief Takes a slot at the best upstream for an attempt.
  /// @return The grant, or why there is none.
  [[nodiscard]] tl::expected<DispatchGrant, Reason> Grant(
      const DispatchRequest& request,
      Instant now);

  /// @brief Wakes `waiter` when a slot of the service comes free.
  void AddWaiter(const std::string& service,
                 const std::shared_ptr<Mailbox>& waiter);

  /// @brief Gives a slot back; a second call for a grant has no effect.
  void Release(const DispatchGrant& grant);

  /// @brief Learns from the end of an attempt.
  void Observe(const DispatchGrant& grant,
               const ExchangeResult& result,
               Duration elapsed,
               Instant now);

  /// @brief Learns from the headers of any answer.
  void ObserveSignals(UpstreamState& upstream, const UpstreamSignals& signals);

  /// @brief The newest snapshot that every service of the route offers.
  [[nodiscard]] std::optional<Snapshot> NewestSnapshot(const Route& route);

  /// @brief Limits for a query of the pool, from recent latencies.
  [[nodiscard]] QueryPolicy PolicyFor(const std::string& pool);

  /// @brief Recomputes policies from the latencies and shares of connections
  /// from the seats.
  void Maintain(Instant now);

  /// @brief All upstreams of the table.
  [[nodiscard]] std::vector<std::shared_ptr<UpstreamState>> Upstreams() const;

  /// @brief What is known about each upstream, by name.
  [[nodiscard]] std::vector<UpstreamStatus> Status(Instant now) const;

 private:
  void ApplyPool(const RoutingPool& pool);
  void ReleaseLocked(UpstreamState& upstream, uint64_t token);
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
  uint64_t last_token_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_DISPATCHER_H_
