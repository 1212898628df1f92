#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

using DaemonsByDomain = std::map<std::string, int>;

// Connections that all daemons together keep to one replica of a service with
// one replica in each of the failure domains a, b and c.
int CountKept(const DaemonsByDomain& daemons, int most, size_t replica) {
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
      service.rule_.max_connections_ = most;
      const ReplicaState& state = *service.replicas_[replica];
      if (MayKeepIdle(fleet.state_, service, state)) {
        kept += ConnectionLimit(fleet.state_, service, state, true);
      }
    }
  }
  return kept;
}

// Guards against more connections than a replica takes from all daemons, which
// it would reset.
TEST_CASE("connections of all daemons stay within those of a replica",
          "[connections]") {
  for (const DaemonsByDomain& daemons :
       {DaemonsByDomain{{"a", 1}}, DaemonsByDomain{{"a", 4}, {"b", 5}},
        DaemonsByDomain{{"a", 30}, {"b", 60}},
        DaemonsByDomain{{"a", 20}, {"c", 20}, {"d", 20}},
        DaemonsByDomain{{"d", 40}}}) {
    for (size_t replica = 0; replica < 3; ++replica) {
      CHECK(CountKept(daemons, 31, replica) <= 31);
      CHECK(CountKept(daemons, 70, replica) <= 70);
    }
  }
}

// Pattern: a failure domain holds daemons and no replica. Guards against a new
// connection for each of their requests.
TEST_CASE("daemons without a local replica keep connections to one elsewhere",
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

// Pattern: the replica of the own failure domain is lost, so that the requests
// of this daemon go elsewhere. Guards against requests that wait for the single
// connection of a daemon in another failure domain while the replica has slots.
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
  ReplicaRequest request;
  request.route_ = &fleet.Route("docket.example", "/case/");
  request.usual_ = milliseconds(15);
  const auto choose = [&fleet, &request]() -> std::string {
    const ReplicaChoice choice = ChooseReplica(
        fleet.state_, *FindService(fleet.state_, "docket"), request, At({}));
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
