#include "gateway/aggregator_pool.h"

#include <vector>

#include <catch2/catch.hpp>

#include "http/http.h"
#include "http/test_server.h"

namespace clementinerill::gateway {

// Guards against an aggregator that is never connected to again, because it
// left the plan and came back while a query was with it.
TEST_CASE("an aggregator that returns during a query stays usable",
          "[aggregation]") {
  http::EventLoop loop;
  http::Listener listener(loop, [](const auto&, const auto&) {});
  const uint16_t port = *listener.Listen("127.0.0.1", 0);
  const std::vector<traffic::Aggregator> plan = {
      {"a", "z1", "", "127.0.0.1", port, 500}};
  AggregatorPool pool(loop);
  Instant now = http::EventLoop::Now();
  std::optional<AggregatorPool::Lease> lease;
  const auto acquire = [&] {
    now += std::chrono::seconds(2);  // After a pause for reconnecting.
    pool.Maintain(plan, now);
    return http::RunUntil(loop, [&] {
      lease = pool.Acquire(plan, now);
      return lease.has_value();
    });
  };
  REQUIRE(acquire());
  const AggregatorPool::Lease first = *lease;
  pool.Maintain({}, now);
  pool.Maintain(plan, now);
  pool.Release(first, traffic::ForwardOutcome::kCancelled, now);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(acquire());
    lease->connection_->Close();
    pool.Release(*lease, traffic::ForwardOutcome::kCancelled, now);
  }
}

}  // namespace clementinerill::gateway
