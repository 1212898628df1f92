#ifndef CLEMENTINERILL_TESTS_DAEMON_TEST_TABLE_H_
#define CLEMENTINERILL_TESTS_DAEMON_TEST_TABLE_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "daemon/dispatcher.h"
#include "routing/build_routing_table.h"
#include "routing/pool_seats.h"

namespace clementinerill {

/// @brief Pool "claims" with services "s0".. and replicas "s0-r0".., replica
/// r in failure domain "fd-r". The ports are those given, or 1.
struct TestTable {
  int services_ = 1;
  int replicas_ = 3;
  int slots_ = 3;
  int seats_ = 1;
  std::vector<int> held_ = {0};
  std::vector<uint16_t> ports_;
  Labels labels_;
  std::set<std::string> domains_out_;

  [[nodiscard]] std::shared_ptr<const RoutingTable> Make() const {
    Configuration configuration;
    Pool pool;
    pool.name_ = "claims";
    pool.slots_ = slots_;
    pool.seats_ = seats_;
    configuration.pools_ = {pool};
    size_t next_port = 0;
    for (int s = 0; s < services_; ++s) {
      Service service{"s" + std::to_string(s), "claims", {}};
      for (int r = 0; r < replicas_; ++r, ++next_port) {
        Upstream upstream;
        upstream.name_ = service.name_ + "-r" + std::to_string(r);
        upstream.address_ = "127.0.0.1";
        upstream.port_ = next_port < ports_.size() ? ports_[next_port] : 1;
        upstream.failure_domain_ = "fd-" + std::to_string(r);
        upstream.labels_ = labels_;
        service.upstreams_.push_back(upstream);
      }
      configuration.services_.push_back(service);
    }
    for (int r = 0; r < replicas_; ++r) {
      configuration.failure_domains_.push_back(
          {"fd-" + std::to_string(r), true, 0});
    }
    configuration.routes_ = {SweepRoute()};
    return std::make_shared<const RoutingTable>(
        BuildRoutingTable(configuration, {domains_out_, {}}));
  }

  /// @brief The held seats, usable at any time of a test.
  [[nodiscard]] std::shared_ptr<const PublishedSeats> Seats() const {
    PublishedSeats seats;
    const Instant end = Instant::max() - std::chrono::hours(1);
    for (const int seat : held_) {
      seats.pools_["claims"].own_.push_back(
          {seat, SeatPermit{true, Instant(), end}, true});
    }
    return std::make_shared<const PublishedSeats>(std::move(seats));
  }

  [[nodiscard]] static Route SweepRoute() {
    Route route;
    route.name_ = "sweep";
    route.kind_ = RouteKind::kSweep;
    route.pool_ = "claims";
    return route;
  }
};

/// @brief Applies the table and the seats of a test to a dispatcher.
inline void ApplyTable(Dispatcher& dispatcher,
                       const TestTable& table,
                       Instant now) {
  dispatcher.SetSeats(table.Seats());
  dispatcher.Apply(table.Make(), now);
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_TESTS_DAEMON_TEST_TABLE_H_
