#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

using DaemonsByDomain = std::map<std::string, int>;

// Counts the idle connections that all daemons together may keep to one replica
// of a service with one replica in each of the failure domains a, b and c.
int CountIdleConnections(const DaemonsByDomain& daemons,
                         int max_connections,
                         size_t replica) {
  int kept = 0;
  for (const auto& [domain, count] : daemons) {
    for (int i = 0; i < count; ++i) {
      Fleet fleet({MakeSingleRoute(RequestKind::kIdempotent)});
      fleet.state_.name_ = domain + "-" + std::to_string(i);
      fleet.state_.failure_domain_ = domain;
      auto view = std::make_shared<TrafficView>(*fleet.state_.view_);
      view->daemons_ = daemons;
      ApplyView(fleet.state_, view);
      ServiceState& service = *FindService(fleet.state_, "docket");
      service.rule_.max_connections_ = max_connections;
      const ReplicaState& state = *service.replicas_[replica];
      if (MayKeepIdle(fleet.state_, service, state)) {
        kept += ConnectionLimit(fleet.state_, service, state, true);
      }
    }
  }
  return kept;
}

// Guards against all daemons together opening more connections than a replica
// accepts; it resets the excess ones.
TEST_CASE("connections of all daemons stay within the limit of a replica",
          "[connections]") {
  for (const DaemonsByDomain& daemons :
       {DaemonsByDomain{{"a", 1}}, DaemonsByDomain{{"a", 4}, {"b", 5}},
        DaemonsByDomain{{"a", 30}, {"b", 60}},
        DaemonsByDomain{{"a", 20}, {"c", 20}, {"d", 20}},
        DaemonsByDomain{{"d", 40}}}) {
    for (size_t replica = 0; replica < 3; ++replica) {
      CHECK(CountIdleConnections(daemons, 31, replica) <= 31);
      CHECK(CountIdleConnections(daemons, 70, replica) <= 70);
    }
  }
}

// A failure domain has daemons but no replica. Guards against a new connection
// for each of their requests.
TEST_CASE("daemons without a local replica keep connections to a remote one",
          "[connections]") {
  const DaemonsByDomain daemons = {{"a", 19}, {"b", 19}, {"c", 19}, {"d", 19}};
  std::map<std::string, int> preferred;
  for (int i = 0; i < 19; ++i) {
    Fleet fleet({MakeSingleRoute(RequestKind::kIdempotent)});
    fleet.state_.name_ = "d-" + std::to_string(i);
    fleet.state_.failure_domain_ = "d";
    auto view = std::make_shared<TrafficView>(*fleet.state_.view_);
    view->daemons_ = daemons;
    ApplyView(fleet.state_, view);
    ServiceState& service = *FindService(fleet.state_, "docket");
    service.rule_.max_connections_ = 70;
    int kept = 0;
    for (const auto& replica : service.replicas_) {
      if (MayKeepIdle(fleet.state_, service, *replica)) {
        ++preferred[replica->entry_.id_];
        ++kept;
      }
    }
    CHECK(kept == 1);
  }
  CHECK(preferred.size() == 3);
}

// The replica in the failure domain of the daemon is lost, so that its requests
// go to other domains. Guards against requests that wait for the single
// connection of a non-preferring daemon while the remote replica has free
// slots.
TEST_CASE("a daemon without a local replica gets an equal share of connections",
          "[connections]") {
  Fleet fleet({MakeSingleRoute(RequestKind::kIdempotent)});
  auto view = std::make_shared<TrafficView>(*fleet.state_.view_);
  view->daemons_ = {{"a", 4}, {"b", 3}, {"c", 2}};
  ApplyView(fleet.state_, view);
  FindService(fleet.state_, "docket")->rule_.max_connections_ = 36;
  fleet.Replica("docket", 2).misdirected_ = true;
  ReplicaState& local = fleet.Replica("docket", 0);
  ReplicaState& remote = fleet.Replica("docket", 1);
  ReplicaCriteria criteria;
  criteria.route_ = &fleet.Route("docket.example", "/case/");
  criteria.median_latency_ = milliseconds(15);
  const auto choose = [&fleet, &criteria]() -> std::string {
    const ReplicaChoice choice = ChooseReplica(
        fleet.state_, *FindService(fleet.state_, "docket"), criteria, At({}));
    return choice.replica_ ? choice.replica_->entry_.id_ : "none";
  };
  local.open_connections_ = 100;
  remote.open_connections_ = 1;
  CHECK(choose() == "none");
  local.misdirected_ = true;
  CHECK(choose() == "docket-b");
  remote.open_connections_ = 3;
  CHECK(choose() == "none");
}

}  // namespace
}  // namespace clementinerill::traffic
