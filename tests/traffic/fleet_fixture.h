#ifndef CLEMENTINERILL_TESTS_TRAFFIC_FLEET_FIXTURE_H_
#define CLEMENTINERILL_TESTS_TRAFFIC_FLEET_FIXTURE_H_

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "traffic/traffic.h"

namespace clementinerill::traffic {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline Instant At(Duration since_start) {
  return Instant(seconds(1000)) + since_start;
}

/// The most of these times, in ascending order, that lie within one window.
inline int MostWithin(Duration window, const std::vector<Instant>& times) {
  size_t most = 0;
  size_t first = 0;
  for (size_t i = 0; i < times.size(); ++i) {
    while (times[i] - times[first] >= window) {
      ++first;
    }
    most = std::max(most, i - first + 1);
  }
  return static_cast<int>(most);
}

inline ReplicaEntry MakeReplica(const std::string& id,
                                const std::string& service,
                                const std::string& domain,
                                int slots = 4) {
  ReplicaEntry entry;
  entry.id_ = id;
  entry.service_ = service;
  entry.address_ = "10.0.0.1";
  entry.port_ = 8000;
  entry.failure_domain_ = domain;
  entry.slots_ = slots;
  entry.started_unix_ms_ = 1;
  return entry;
}

inline RouteRule MakeFanOutRoute(int shards) {
  RouteRule route;
  route.name_ = "sweep";
  route.host_ = "search.example";
  route.path_prefix_ = "/sweep/";
  route.kind_ = RequestKind::kIdempotent;
  route.timeout_ = milliseconds(1200);
  route.objective_ = milliseconds(120);
  route.max_attempts_ = 2;
  route.record_limit_ = 10;
  route.min_coverage_ = 0.75;
  for (int i = 0; i < shards; ++i) {
    route.shards_.push_back("shard-" + std::to_string(i));
  }
  return route;
}

inline RouteRule MakeSingleRoute(RequestKind kind) {
  RouteRule route;
  route.name_ = "single";
  route.host_ = "docket.example";
  route.path_prefix_ = "/case/";
  route.kind_ = kind;
  route.timeout_ = milliseconds(5000);
  route.objective_ = milliseconds(500);
  route.max_attempts_ = 2;
  route.destinations_.push_back({"docket", 1.0});
  return route;
}

/// The names `vm-0`, `vm-1` and so on.
inline std::shared_ptr<const std::vector<std::string>> DaemonNames(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) {
    names.push_back("vm-" + std::to_string(i));
  }
  return std::make_shared<const std::vector<std::string>>(std::move(names));
}

/// State of a daemon with one replica of each service in each of three failure
/// domains.
struct Fleet {
  explicit Fleet(std::vector<RouteRule> routes, int daemons = 1) {
    auto configuration = std::make_shared<TrafficConfiguration>();
    configuration->version_ = 1;
    auto view = std::make_shared<TrafficView>();
    view->daemons_["a"] = daemons;
    view->daemon_names_ = DaemonNames(daemons);
    view->registered_since_ = At({}) - std::chrono::hours(1);
    for (RouteRule& route : routes) {
      for (const std::string& shard : route.shards_) {
        AddService(*configuration, *view, shard);
      }
      for (const auto& destination : route.destinations_) {
        AddService(*configuration, *view, destination.service_);
      }
      AddRoute(*configuration, std::move(route));
    }
    view->configuration_ = configuration;
    state_.name_ = "vm-0";
    state_.failure_domain_ = "a";
    ApplyView(state_, view);
  }

  static void AddService(TrafficConfiguration& configuration,
                         TrafficView& view,
                         const std::string& name) {
    configuration.services_[name].name_ = name;
    for (const char* domain : {"a", "b", "c"}) {
      view.replicas_.push_back(MakeReplica(name + "-" + domain, name, domain));
    }
  }

  const RouteRule& Route(const std::string& host, const std::string& path) {
    return *FindRoute(*state_.view_->configuration_, host, path);
  }

  ReplicaState& Replica(const std::string& service, size_t index) {
    return *FindService(state_, service)->replicas_[index];
  }

  FleetState state_;
};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TESTS_TRAFFIC_FLEET_FIXTURE_H_
