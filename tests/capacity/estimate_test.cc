#include <random>

#include <catch2/catch.hpp>

#include "capacity/capacity.h"

// Decisions on single replicas. The comment of each test names the load that it
// answers.
namespace clementinerill::capacity {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMedian = milliseconds(15);

/// A replica with eight slots that answers one daemon every `interval`.
class Replica {
 public:
  Report report_{2, 0, 8, 100};
  double ratio_ = 1;  ///< Of the latencies to the median.
  Duration interval_ = milliseconds(10);

  void Answer(Duration length) {
    for (const Instant end = now_ + length; now_ < end; now_ += interval_) {
      const double noise = std::lognormal_distribution<>(0, 0.35)(random_);
      RecordReport(estimate_, report_, now_);
      RecordAnswer(estimate_, {now_ - Scale(kMedian, ratio_ * noise), kMedian},
                   now_);
    }
  }

  /// Requests in progress wait for the end of a pause.
  void Pause(Duration length) {
    const Instant begin = now_;
    now_ += length;
    for (int i = 0; i < report_.running_; ++i) {
      RecordReport(estimate_, report_, now_);
      RecordAnswer(estimate_, {begin - milliseconds(i), kMedian}, now_);
    }
  }

  void Refuse(int count) {
    for (int i = 0; i < count; ++i) {
      now_ += milliseconds(1);
      RecordReport(estimate_, report_, now_);
      RecordRefusal(estimate_, now_);
    }
  }

  [[nodiscard]] double Slowness() const {
    return LastingSlowness(estimate_, now_);
  }
  [[nodiscard]] double HandledWell() const {
    return Capacity(estimate_, 8, now_);
  }

  Estimate estimate_;
  Instant now_{seconds(1000)};

 private:
  std::mt19937_64 random_{1};
};

// Answers the same load on a replica that does not report its pace. Guards
// against another choice in deployments without the fourth number.
TEST_CASE("nothing is learned without a reported pace", "[capacity]") {
  Estimate estimate;
  const Instant now{seconds(1000)};
  RecordAnswer(estimate, {now - milliseconds(80), kMedian}, now);
  RecordRefusal(estimate, now);
  CHECK_FALSE(IsLearned(estimate, now));
  CHECK(LastingSlowness(estimate, now) == 1.0);
  CHECK(Pace(estimate, now) == 1.0);
  CHECK(Capacity(estimate, 8, now) == 8.0);
  CHECK(AcceptedRequests(estimate, 8, now) == 8.0);
}

// One replica of three is 1.3 times slower, another takes 0.8 of the time.
TEST_CASE("the lasting slowness follows a replica's speed", "[capacity]") {
  for (const double speed : {0.8, 1.0, 1.3}) {
    Replica replica;
    replica.ratio_ = speed;
    replica.Answer(seconds(5));
    INFO("speed " << speed << ", estimate " << replica.Slowness());
    CHECK(replica.Slowness() == Approx(speed).epsilon(0.1));
  }
}

// A daemon that gets one response of a replica in two seconds. Guards against
// an estimate that is only noise or never learned.
TEST_CASE("a quiet daemon learns the speed in time", "[capacity]") {
  Replica replica;
  replica.ratio_ = 1.4;
  replica.interval_ = seconds(2);
  replica.Answer(seconds(120));
  INFO("estimate " << replica.Slowness());
  CHECK(replica.Slowness() > 1.15);
  CHECK(replica.Slowness() < 1.7);
}

// A pause of 200 ms. Guards against avoiding the replica after its end.
TEST_CASE("a pause does not change the lasting slowness", "[capacity]") {
  Replica replica;
  replica.report_.running_ = 6;
  replica.Answer(seconds(5));
  const double first = replica.Slowness();
  for (int i = 0; i < 5; ++i) {
    const double before = replica.Slowness();
    replica.Pause(milliseconds(200));
    CHECK(replica.Slowness() == Approx(before).epsilon(0.05));
    replica.Answer(milliseconds(3600));
  }
  CHECK(replica.Slowness() == Approx(first).epsilon(0.1));
  CHECK(replica.HandledWell() >= 7);
}

// A neighbour's noise of 0.4 s, once reported as the pace of the machine and
// once not. Guards against taking it for a lasting slowness.
TEST_CASE("noise of a neighbour does not change the lasting slowness",
          "[capacity]") {
  for (const int pace : {100, 200}) {
    Replica replica;
    replica.Answer(seconds(5));
    const double before = replica.Slowness();
    replica.ratio_ = 2;
    replica.report_.pace_ = pace;
    replica.Answer(milliseconds(400));
    CHECK(Pace(replica.estimate_, replica.now_) ==
          Approx(pace / 100.0).epsilon(0.1));
    CHECK(replica.Slowness() == Approx(before).epsilon(0.1));
    replica.ratio_ = 1;
    replica.report_.pace_ = 100;
    replica.Answer(seconds(4));
    INFO("reported pace " << pace);
    CHECK(replica.Slowness() == Approx(before).epsilon(0.1));
    CHECK(Pace(replica.estimate_, replica.now_) == 1.0);
  }
}

// The pace of a replica that then answers nobody. Guards against avoiding it
// for a pace that has long changed.
TEST_CASE("a reported pace expires within tenths of a second", "[capacity]") {
  Replica replica;
  replica.report_.pace_ = 300;
  replica.Answer(milliseconds(100));
  const Instant last = replica.estimate_.reported_at_;
  CHECK(Pace(replica.estimate_, last) == 3.0);
  CHECK(Pace(replica.estimate_, last + milliseconds(150)) == Approx(2.0));
  CHECK(Pace(replica.estimate_, last + milliseconds(600)) == 1.0);
}

// A replica that slows down from half of its slots: with seven in progress it
// takes 1.75 times as long as with up to four.
TEST_CASE("the capacity is where a replica begins to slow down", "[capacity]") {
  Replica replica;
  for (int round = 0; round < 10; ++round) {
    for (const int running : {2, 4, 6, 7}) {
      replica.report_.running_ = running;
      replica.ratio_ = running <= 4 ? 1.0 : running / 4.0;
      replica.Answer(milliseconds(300));
    }
  }
  INFO("capacity " << replica.HandledWell());
  CHECK(replica.HandledWell() >= 3.5);
  CHECK(replica.HandledWell() <= 7);
  CHECK(Slowdown(replica.estimate_, 7, 8) >
        1.4 * Slowdown(replica.estimate_, 2, 8));
}

// A replica at the same loads that does not slow down.
TEST_CASE("a replica that does not slow down keeps all its slots",
          "[capacity]") {
  Replica replica;
  for (int round = 0; round < 10; ++round) {
    for (const int running : {2, 4, 6, 7}) {
      replica.report_.running_ = running;
      replica.Answer(milliseconds(300));
    }
  }
  CHECK(replica.HandledWell() >= 7.5);
}

// Overload by the tier itself: all slots in use and as many requests waiting,
// so that the latency doubles. Guards against taking it for a slow replica.
TEST_CASE("an overload by the tier does not look like a slow replica",
          "[capacity]") {
  Replica replica;
  replica.Answer(seconds(5));
  const double before = replica.Slowness();
  replica.report_.running_ = 8;
  replica.report_.waiting_ = 8;
  replica.ratio_ = 2;
  replica.Answer(seconds(3));
  CHECK(replica.Slowness() == Approx(before).epsilon(0.15));
  CHECK(replica.HandledWell() >= 7.5);
}

// A replica that refuses from five requests in progress and later recovers.
TEST_CASE("the capacity falls at once and rises with work answered well",
          "[capacity]") {
  Replica replica;
  replica.report_.running_ = 5;
  replica.Answer(seconds(1));
  replica.Refuse(1);
  CHECK(replica.HandledWell() < 5);
  const double refused = replica.HandledWell();
  replica.report_.running_ = 1;
  replica.Answer(seconds(1));
  CHECK(replica.HandledWell() == Approx(refused).epsilon(0.05));
  replica.report_.running_ = 5;
  replica.Answer(seconds(1));
  CHECK(replica.HandledWell() > 6);
  CHECK(replica.HandledWell() < 7);  // More was not shown.
  replica.report_.running_ = 7;
  replica.Answer(seconds(1));
  CHECK(replica.HandledWell() == 8);
}

// A replica that was 1.5 times slower for ten seconds and has recovered.
TEST_CASE("a replica that recovers is found to be as fast as before",
          "[capacity]") {
  Replica replica;
  replica.ratio_ = 1.5;
  replica.Answer(seconds(10));
  CHECK(replica.Slowness() == Approx(1.5).epsilon(0.1));
  replica.ratio_ = 1;
  replica.Answer(seconds(3));
  CHECK(replica.Slowness() == Approx(1.0).epsilon(0.1));
}

// A replica that gets no requests. Guards against a state that never ends,
// because a replica that is avoided gets no requests that would change it.
TEST_CASE("estimates expire without observations", "[capacity]") {
  Replica replica;
  replica.ratio_ = 2;
  replica.Answer(seconds(5));
  replica.Refuse(10);
  const Instant later = replica.now_ + seconds(59);
  CHECK(LastingSlowness(replica.estimate_, later) < 1.15);
  CHECK(Capacity(replica.estimate_, 8, later) > 6.5);
  CHECK_FALSE(IsLearned(replica.estimate_, later + seconds(2)));
}

// Reports with impossible numbers. Guards against a division by zero and
// against indices outside of the levels.
TEST_CASE("odd reports are harmless", "[capacity]") {
  for (const Report& report :
       {Report{0, 0, 0, 100}, Report{1000000, 1000000, 1, 1},
        Report{1000000, 0, 1000000, 100000}, Report{7, 0, 8, 100}}) {
    Replica replica;
    replica.report_ = report;
    replica.Answer(seconds(3));
    replica.Refuse(3);
    CHECK(replica.Slowness() > 0.3);
    CHECK(replica.Slowness() < 3);
    CHECK(Pace(replica.estimate_, replica.now_) <= 8);
    CHECK(replica.HandledWell() >= 1);
    CHECK(replica.HandledWell() <= 8);
  }
}

// Many daemons that know the same. Guards against the same choice by all.
TEST_CASE("the spread differs between daemons, requests and replicas",
          "[capacity]") {
  CHECK(SpreadFraction(1, 1, 1) == SpreadFraction(1, 1, 1));
  double sum = 0;
  for (uint64_t seed = 0; seed < 100; ++seed) {
    const double fraction = SpreadFraction(seed, 7, 1);
    CHECK(fraction >= 0);
    CHECK(fraction < 1);
    CHECK(fraction != SpreadFraction(seed, 8, 1));
    CHECK(fraction != SpreadFraction(seed, 7, 2));
    sum += fraction;
  }
  CHECK(sum == Approx(50).margin(10));
}

}  // namespace
}  // namespace clementinerill::capacity
