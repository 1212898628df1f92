#include "traffic/expected_load.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>

namespace clementinerill::traffic {
namespace {

// Relative increase of latency when all slots are busy; proportionally less
// with fewer busy slots. Some replicas slow down when they are nearly full.
constexpr double kSlowdownAtFullLoad = 0.3;

ExpectedLoad LearnedLoad(const ReplicaState& replica, Instant now) {
  const capacity::Estimate& estimate = replica.estimate_;
  const int slots = std::max(replica.entry_.slots_, 1);
  ExpectedLoad load;
  load.busy_ = EstimatedBusy(replica, now);
  load.slots_ = capacity::AcceptedRequests(estimate, slots, now);
  load.slowness_ = Slowness(replica, now) * capacity::Pace(estimate, now);
  // The slowness includes the growth at the usual load. The requests in
  // progress that are known count in full, as they may be those of a pause that
  // has just begun.
  const double busy =
      std::max(load.busy_, capacity::ExpectedBusy(estimate, now));
  load.growth_ =
      std::max(capacity::Slowdown(estimate, load.busy_, slots),
               capacity::Slowdown(estimate, busy, slots) /
                   capacity::Slowdown(
                       estimate, capacity::UsualBusy(estimate, now), slots));
  return load;
}

}  // namespace

ExpectedLoad ExpectLoad(const ReplicaState& replica, Instant now) {
  if (capacity::IsLearned(replica.estimate_, now)) {
    return LearnedLoad(replica, now);
  }
  ExpectedLoad load;
  load.busy_ = EstimatedBusy(replica, now);
  load.slots_ = std::max(replica.entry_.slots_, 1);
  load.slowness_ = Slowness(replica, now);
  load.growth_ = 1 + kSlowdownAtFullLoad * load.busy_ / load.slots_;
  return load;
}

}  // namespace clementinerill::traffic
