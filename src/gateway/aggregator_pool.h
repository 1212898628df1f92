#ifndef CLEMENTINERILL_GATEWAY_AGGREGATOR_POOL_H_
#define CLEMENTINERILL_GATEWAY_AGGREGATOR_POOL_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/buffer_budget.h"
#include "base/time.h"
#include "http/client_connection.h"
#include "traffic/aggregation_plan.h"
#include "traffic/aggregator_health.h"

namespace clementinerill::gateway {

/// @brief Connections of this daemon to the aggregators that it prefers.
///
/// An aggregator is used only while a connection to it is established, so that
/// a query never waits for one that is gone.
class AggregatorPool {
 public:
  /// @brief A connection for one forwarded query.
  struct Lease {
    std::string aggregator_;
    std::shared_ptr<http::ClientConnection> connection_;
  };

  /// @param response_budget limit of the bytes of all responses that are
  /// received or not passed on yet; none if null.
  explicit AggregatorPool(http::EventLoop& loop,
                          std::shared_ptr<BufferBudget> response_budget = {})
      : loop_(loop), response_budget_(std::move(response_budget)) {}

  /// @brief Returns a connection to the first usable one of `aggregators`.
  [[nodiscard]] std::optional<Lease> Acquire(
      const std::vector<traffic::Aggregator>& aggregators,
      Instant now);

  /// @brief Ends a lease. After a failure all connections to the aggregator are
  /// closed, so that it must accept a new one before it is used again.
  void Release(const Lease& lease,
               traffic::ForwardOutcome outcome,
               Instant now);

  /// @brief Connects to these aggregators and closes connections to others.
  /// Call periodically.
  void Maintain(const std::vector<traffic::Aggregator>& aggregators,
                Instant now);

 private:
  using Connection = std::shared_ptr<http::ClientConnection>;
  struct Entry {
    traffic::Aggregator aggregator_;
    traffic::AggregatorHealth health_;
    std::vector<Connection> idle_;  ///< Includes those being opened.
    int leased_ = 0;
    Instant opened_at_{};
    std::shared_ptr<BufferAccount> response_buffers_;
  };

  [[nodiscard]] Connection Connect(Entry& entry);
  [[nodiscard]] std::optional<Lease> AcquireFrom(Entry& entry);
  void MaintainEntry(Entry& entry, Instant now);
  static void CloseIdle(Entry& entry);

  http::EventLoop& loop_;
  const std::shared_ptr<BufferBudget> response_budget_;
  std::map<std::string, Entry> entries_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_AGGREGATOR_POOL_H_
