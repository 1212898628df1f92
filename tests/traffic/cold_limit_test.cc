#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

constexpr Duration kStep = milliseconds(5);

/// The daemons of a fleet, each with its state of the three cold replicas of
/// `docket`.
struct ColdFleet {
  ColdFleet(int daemons, double cold_per_s) : cold_per_s_(cold_per_s) {
    for (int i = 0; i < daemons; ++i) {
      Add("vm-" + std::to_string(i), daemons);
    }
  }

  /// Adds a daemon that knows of the first `known` ones.
  void Add(const std::string& name, int known) {
    auto fleet = std::make_unique<Fleet>(
        std::vector<RouteRule>{MakeSingleRoute(RequestKind::kIdempotent)},
        known);
    fleet->state_.name_ = name;
    FindService(fleet->state_, "docket")->rule_.cold_requests_per_s_ =
        cold_per_s_;
    fleets_.push_back(std::move(fleet));
    SetView(fleets_.size() - 1, *fleets_.back()->state_.view_);
  }

  /// The most that a cold replica may get in a second.
  [[nodiscard]] int Bound() const {
    return static_cast<int>(cold_per_s_ * 1.5 + 5);
  }

  /// Applies a view in which all replicas are cold.
  void SetView(size_t daemon, const TrafficView& view) {
    auto cold = std::make_shared<TrafficView>(view);
    for (ReplicaEntry& entry : cold->replicas_) {
      entry.cold_until_ = At(seconds(3600));
    }
    ApplyView(fleets_[daemon]->state_, cold);
  }

  /// Sends each replica as many requests as the daemons may.
  void SendAll(Duration begin, Duration end) {
    for (Duration t = begin; t < end; t += kStep) {
      for (const auto& fleet : fleets_) {
        ServiceState& service = *FindService(fleet->state_, "docket");
        for (size_t i = 0; i < sends_.size(); ++i) {
          ReplicaState& replica = *service.replicas_[i];
          while (TimeUntilColdSend(fleet->state_, service, replica, At(t)) ==
                 Duration::zero()) {
            RecordColdSend(service, replica, At(t));
            sends_[i].push_back(At(t));
          }
        }
      }
    }
  }

  [[nodiscard]] int MostInASecond() const {
    int most = 0;
    for (const auto& sends : sends_) {
      most = std::max(most, MostWithin(seconds(1), sends));
    }
    return most;
  }

  double cold_per_s_;
  std::vector<std::unique_ptr<Fleet>> fleets_;
  std::vector<std::vector<Instant>> sends_{3};  ///< By replica.
};

// Guards against a cold replica that crashes because each of many daemons sends
// it a request a second, however low its limit is.
TEST_CASE("all daemons together keep the limit of a cold replica", "[cold]") {
  const int daemons = GENERATE(1, 3, 9, 91, 295);
  const double cold_per_s = GENERATE(0.2, 1.0, 10.0, 100.0);
  ColdFleet fleet(daemons, cold_per_s);
  fleet.SendAll({}, seconds(3));
  INFO(daemons << " daemons, " << cold_per_s << " requests/s");
  CHECK(fleet.MostInASecond() <= fleet.Bound());
  CHECK(fleet.MostInASecond() >= cold_per_s);
}

// Guards against shares that add up to more than the limit while some daemons
// still count those of a failure domain that is lost.
TEST_CASE(
    "daemons that count different numbers keep the limit of a cold "
    "replica",
    "[cold]") {
  const double cold_per_s = GENERATE(1.0, 30.0);
  ColdFleet fleet(0, cold_per_s);
  constexpr int kAlive = 20;
  for (int i = 0; i < kAlive; ++i) {
    fleet.Add("vm-" + std::to_string(i), i % 2 == 0 ? kAlive : kAlive + 10);
  }
  fleet.SendAll({}, seconds(3));
  CHECK(fleet.MostInASecond() <= fleet.Bound());
}

// Guards against daemons that take the whole limit because they know only of
// themselves: after a start, or while the store is away.
TEST_CASE(
    "a daemon without a settled registration sends a cold replica "
    "nothing",
    "[cold]") {
  ColdFleet fleet(1, 1);
  TrafficView view = *fleet.fleets_[0]->state_.view_;
  SECTION("just registered") {
    view.registered_since_ = At({});
    fleet.SetView(0, view);
    fleet.SendAll({}, kRegistrationSettleTime);
    CHECK(fleet.MostInASecond() == 0);
    fleet.SendAll(kRegistrationSettleTime, seconds(3));
    CHECK(fleet.MostInASecond() > 0);
  }
  SECTION("not registered") {
    view.registered_since_.reset();
    fleet.SetView(0, view);
    fleet.SendAll({}, seconds(3));
    CHECK(fleet.MostInASecond() == 0);
  }
  SECTION("the daemons are unknown") {
    view.daemon_names_ = nullptr;
    fleet.SetView(0, view);
    fleet.SendAll({}, seconds(3));
    CHECK(fleet.MostInASecond() == 0);
  }
}

// Guards against a limit that is exceeded by the daemons that gather queries
// and the other ones together, in one region or in several.
TEST_CASE("aggregators and other daemons keep the limit of a cold replica",
          "[cold]") {
  const int regions = GENERATE(1, 2);
  constexpr int kDaemons = 91;
  ColdFleet fleet(kDaemons, 1);
  for (int i = 0; i < kDaemons; ++i) {
    const int region = i % regions;
    FleetState& state = fleet.fleets_[static_cast<size_t>(i)]->state_;
    std::vector<std::string> aggregators;
    for (int a = region; a < 12; a += regions) {
      aggregators.push_back("vm-" + std::to_string(a));
    }
    state.aggregation_.aggregators_ =
        std::make_shared<const std::vector<std::string>>(aggregators);
    state.aggregation_.region_count_ = regions;
    FindService(state, "docket")->is_aggregated_ = true;
  }
  fleet.SendAll({}, seconds(3));
  CHECK(fleet.MostInASecond() <= fleet.Bound());
  CHECK(fleet.MostInASecond() > 0);
}

// Guards against requests that were sent shortly before this daemon learned
// that the replica is cold and are not counted.
TEST_CASE("requests before the replica is known to be cold count", "[cold]") {
  ColdFleet fleet(1, 1);
  FleetState& state = fleet.fleets_[0]->state_;
  ServiceState& service = *FindService(state, "docket");
  ReplicaState& replica = *service.replicas_[0];
  replica.entry_.cold_until_.reset();
  for (int i = 0; i < 10; ++i) {
    RecordColdSend(service, replica, At(milliseconds(i)));
  }
  replica.entry_.cold_until_ = At(seconds(9));
  CHECK(TimeUntilColdSend(state, service, replica, At(milliseconds(100))) >
        milliseconds(800));
}

// Guards against a configured rate that is too large for the type of a share.
TEST_CASE("the limit of a cold replica has an upper bound", "[cold]") {
  ColdFleet fleet(1, GENERATE(1e10, 1e300));
  FleetState& state = fleet.fleets_[0]->state_;
  ServiceState& service = *FindService(state, "docket");
  CHECK(ColdRequestLimit(state, service, *service.replicas_[0], At({})) ==
        800000);
}

// Guards against a part of the limit that is lost with a request that was not
// sent.
TEST_CASE("a cancelled send does not count for a cold replica", "[cold]") {
  ColdFleet fleet(9, 1);
  ServiceState& service = *FindService(fleet.fleets_[0]->state_, "docket");
  ReplicaState& replica = *service.replicas_[0];
  RecordSend(replica, At({}));
  RecordColdSend(service, replica, At({}));
  CancelSend(replica, At({}));
  CHECK(replica.recent_sends_.empty());
}

/// A load on a fleet whose service has returned cold: each daemon gets 5
/// requests/s, evenly spread, for 3 s. They are answered after 50 ms.
class ColdLoad {
 public:
  explicit ColdLoad(ColdFleet& fleet) : fleet_(fleet) {
    const auto daemons = static_cast<int>(fleet.fleets_.size());
    const Duration gap = Duration(milliseconds(200)) / daemons;
    for (Duration t{}; t < seconds(3); t += gap) {
      const size_t index = calls_.size();
      FleetState& state = fleet.fleets_[index % fleet.fleets_.size()]->state_;
      const RouteRule& route =
          *FindRoute(*state.view_->configuration_, "docket.example", "/case/1");
      calls_.push_back(
          {&state, StartQuery(state, route, "id-" + std::to_string(index),
                              seconds(2), At(t))});
      due_.emplace(At(t), index);
    }
    while (!due_.empty()) {
      const auto [at, index] = *due_.begin();
      due_.erase(due_.begin());
      Step(calls_[index], index, at);
    }
    for (auto& sends : fleet.sends_) {
      std::sort(sends.begin(), sends.end());
    }
  }

  [[nodiscard]] size_t Count() const { return calls_.size(); }

  size_t served_ = 0;
  size_t refused_ = 0;
  Duration longest_refusal_{};  ///< From the request to its refusal.

 private:
  static constexpr Duration kWork = milliseconds(50);

  struct Call {
    FleetState* state_;
    Query query_;
  };

  void Step(Call& call, size_t index, Instant at) {
    auto& attempts = call.query_.parts_[0].attempts_;
    for (size_t i = 0; i < attempts.size(); ++i) {
      if (attempts[i].is_open_ && attempts[i].sent_ + kWork <= at) {
        RecordAttemptOutcome(*call.state_, call.query_, {0, i},
                             AttemptOutcome::kAnswered, {}, at);
      }
    }
    if (call.query_.outcome_ != QueryOutcome::kOpen) {
      return;
    }
    for (const SendAction& send : Advance(*call.state_, call.query_, at)) {
      RecordArrival(call, attempts[send.attempt_]);
      due_.emplace(at + kWork, index);
    }
    if (call.query_.outcome_ == QueryOutcome::kOpen) {
      due_.emplace(call.query_.wake_at_, index);
    } else if (call.query_.outcome_ == QueryOutcome::kComplete) {
      ++served_;
    } else if (call.query_.outcome_ == QueryOutcome::kRefused) {
      ++refused_;
      longest_refusal_ =
          std::max(longest_refusal_, Duration(at - call.query_.started_));
    }
  }

  void RecordArrival(const Call& call, const Attempt& attempt) {
    const auto& replicas = FindService(*call.state_, "docket")->replicas_;
    const auto found =
        std::find(replicas.begin(), replicas.end(), attempt.replica_);
    fleet_.sends_[static_cast<size_t>(found - replicas.begin())].push_back(
        attempt.sent_);
  }

  ColdFleet& fleet_;
  std::vector<Call> calls_;
  std::multimap<Instant, size_t> due_;
};

// Guards against a service that does not come back: all its replicas are cold
// at once, and get more than they can bear, or next to nothing, from daemons
// that each get fewer requests than the limit has.
TEST_CASE("a service whose replicas are all cold is served at their limit",
          "[cold][load]") {
  const int daemons = GENERATE(3, 9, 91, 295);
  ColdFleet fleet(daemons, 1);
  const ColdLoad load(fleet);
  INFO(daemons << " daemons: " << load.served_ << " served, " << load.refused_
               << " refused of " << load.Count());
  CHECK(fleet.MostInASecond() <= fleet.Bound());
  // Three replicas that tolerate a request a second each, for 3 s.
  CHECK(load.served_ >= 9);
  CHECK(load.served_ + load.refused_ == load.Count());
  // A quarter of the objective, and the interval of retries.
  CHECK(load.longest_refusal_ <= milliseconds(128));
}

}  // namespace
}  // namespace clementinerill::traffic
