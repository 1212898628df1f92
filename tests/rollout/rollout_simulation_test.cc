#include <array>
#include <chrono>
#include <cmath>
#include <cstring>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "rollout/rollout.h"

namespace clementinerill {
namespace {

using std::chrono::seconds;

constexpr int kDaemons = 3;
constexpr int kRoutes = 2;
constexpr int kRequestsPerSecond = 150;  // per daemon and route
constexpr int kPartsPerRequest = 4;
constexpr int kJudgeSeconds = 5;

const WallTime kStart{seconds(1796376956)};

enum class Fault { kNone, kFails, kSlows, kFailsLater, kUnderLoad, kOneRoute };

struct Outcome {
  RolloutState state_;
  WallTime target_;
  bool fault_observed_ = false;
  // Share of the new version at its first faulty request.
  int share_at_fault_ = 0;
  // Fraction of all requests until then that went to the new version.
  double new_fraction_at_fault_ = 0;
  // Time from then until the last request to the new version.
  int exposure_seconds_ = 0;
};

// Precomputed latency buckets of a log-normal distribution to sample from:
// generating millions of deviates would exceed the time available for one seed.
std::array<uint8_t, 4096> MakeLatencies(double median_ms) {
  std::mt19937 random(7);
  std::lognormal_distribution<double> ms(std::log(median_ms), 0.4);
  std::array<uint8_t, 4096> buckets{};
  for (auto& bucket : buckets) {
    const std::chrono::duration<double, std::milli> drawn(ms(random));
    bucket = static_cast<uint8_t>(
        LatencyBucket(std::chrono::duration_cast<Duration>(drawn)));
  }
  return buckets;
}

const auto kNormal = MakeLatencies(20);
const auto kSlow = MakeLatencies(100);
const auto kDisturbed = MakeLatencies(40);
const auto kSlowDisturbed = MakeLatencies(200);

class Simulation {
 public:
  Simulation(Fault fault, unsigned seed) : fault_(fault), random_(seed) {
    const int length = 620 + static_cast<int>(random_() % 300);
    plan_ = *PlanRollout({"r" + std::to_string(seed),
                          "v1",
                          "v2",
                          "claims",
                          {{"route-0", 450}, {"route-1", 450}},
                          kStart + seconds(length)},
                         kStart);
    outcome_.state_ = *StartRollout({}, plan_, kStart);
    outcome_.target_ = plan_.target_;
    errors_ = fault == Fault::kSlows ? 0 : 0.6 + 0.1 * (random_() % 5);
    fault_start_ = fault == Fault::kFailsLater
                       ? length * (5 + static_cast<int>(random_() % 85)) / 100
                       : 0;
    disturbance_start_ = static_cast<int>(random_() % 600);
    end_second_ = length + 30;
    ResetCounts();
  }

  Outcome Run() {
    for (second_ = 0; second_ < end_second_ && !Ended(); ++second_) {
      RunSecond();
    }
    return outcome_;
  }

 private:
  static VersionCounts Empty() {
    return {0, 0, 0, std::vector<uint64_t>(kLatencyBuckets)};
  }

  void ResetCounts() {
    total_.clear();
    for (const auto& route : plan_.routes_) {
      total_.push_back({route, Empty(), Empty()});
    }
  }

  [[nodiscard]] bool Ended() const {
    return outcome_.state_.status_ == RolloutStatus::kRolledBack &&
           second_ > stopped_at_ + 10;
  }

  [[nodiscard]] bool IsFaulty(int route) const {
    switch (fault_) {
      case Fault::kNone:
        return false;
      case Fault::kUnderLoad:
        return share_ >= 2500;
      case Fault::kOneRoute:
        return route == 1;
      default:
        return second_ >= fault_start_;
    }
  }

  void RunSecond() {
    const WallTime now = kStart + seconds(second_);
    StopReason reason = StopReason::kNone;
    for (int daemon = 0; daemon < kDaemons; ++daemon) {
      for (int route = 0; route < kRoutes; ++route) {
        RouteCounts second_counts{total_[route].route_, Empty(), Empty()};
        // The stop advisory reaches the other daemons after one second.
        SendRequests(second_counts, route,
                     LocalShare(daemon_state_, second_ > stopped_at_));
        Add(total_[route].old_, second_counts.old_);
        Add(total_[route].new_, second_counts.new_);
        const auto fault = CheckWindows(windows_[daemon][route], second_counts);
        reason = fault != StopReason::kNone ? fault : reason;
      }
    }
    UpdateState(reason, now);
  }

  void SendRequests(RouteCounts& second_counts, int route, int share) {
    share_ = share;
    const bool faulty = IsFaulty(route);
    const bool disturbed =
        second_ >= disturbance_start_ && second_ < disturbance_start_ + 40;
    const double usual_errors = disturbed ? 0.05 : 0.005;
    const bool slow = faulty && fault_ == Fault::kSlows;
    for (int i = 0; i < kRequestsPerSecond; ++i) {
      char id[8];
      const uint64_t number = ++requests_;
      std::memcpy(id, &number, sizeof(id));
      const bool is_new = SelectsNewVersion(plan_.id_, {id, sizeof(id)}, share);
      auto& counts = is_new ? second_counts.new_ : second_counts.old_;
      const double errors = is_new && faulty && !slow ? errors_ : usual_errors;
      const auto& normal = disturbed ? kDisturbed : kNormal;
      const auto& latency = !is_new || !slow ? normal
                            : disturbed      ? kSlowDisturbed
                                             : kSlow;
      ++counts.requests_;
      counts.parts_ += kPartsPerRequest;
      // 16 random bits for each part.
      uint64_t drawn = random_();
      for (int part = 0; part < kPartsPerRequest; ++part, drawn >>= 16) {
        if (static_cast<double>(drawn & 0xffff) < errors * 0x10000) {
          ++counts.failures_;
        } else {
          ++counts.latency_[latency[drawn % 4096]];
        }
      }
      RecordExposure(is_new, faulty);
    }
  }

  void RecordExposure(bool is_new, bool faulty) {
    new_requests_ += is_new ? 1 : 0;
    if (is_new && faulty && !outcome_.fault_observed_) {
      outcome_.fault_observed_ = true;
      outcome_.share_at_fault_ = share_;
      outcome_.new_fraction_at_fault_ =
          static_cast<double>(new_requests_) / static_cast<double>(requests_);
      fault_observed_at_ = second_;
    }
    if (is_new && outcome_.fault_observed_) {
      outcome_.exposure_seconds_ = second_ - fault_observed_at_ + 1;
    }
  }

  using Window = std::vector<RouteCounts>;

  [[nodiscard]] StopReason CheckWindows(Window& window,
                                        const RouteCounts& second_counts) {
    if (seconds(window.size()) == kClearFaultWindows.back()) {
      window.erase(window.begin());
    }
    window.push_back(second_counts);
    RouteCounts sum{second_counts.route_, Empty(), Empty()};
    size_t summed_seconds = 0;
    for (const seconds length : kClearFaultWindows) {
      for (; summed_seconds < window.size() && seconds(summed_seconds) < length;
           ++summed_seconds) {
        const auto& past = window[window.size() - 1 - summed_seconds];
        Add(sum.old_, past.old_);
        Add(sum.new_, past.new_);
      }
      const auto fault =
          DetectClearFault(WithBaseline(plan_, outcome_.state_, {sum})[0]);
      if (fault != StopReason::kNone) {
        return fault;
      }
    }
    return StopReason::kNone;
  }

  void UpdateState(StopReason reason, WallTime now) {
    RolloutState& state = outcome_.state_;
    daemon_state_ = state;
    const auto next =
        second_ % kJudgeSeconds > 0
            ? state
            : NextState(plan_, state, JudgeStep(plan_, state, total_), now,
                        total_);
    const bool changed = next.generation_ != state.generation_;
    state = next;
    if (reason != StopReason::kNone) {
      state = StopRollout(state, reason, "", now).value_or(state);
    }
    if (state.status_ == RolloutStatus::kRolledBack && stopped_at_ > second_) {
      stopped_at_ = second_ + 1;
    }
    if (changed) {
      ResetCounts();
    }
  }

  Fault fault_;
  std::mt19937_64 random_;
  RolloutPlan plan_;
  Outcome outcome_;
  RolloutState daemon_state_;
  std::vector<RouteCounts> total_;  // since the step began
  Window windows_[kDaemons][kRoutes];
  double errors_ = 0;
  int fault_start_ = 0;
  int disturbance_start_ = 0;
  int end_second_ = 0;
  int second_ = 0;
  int share_ = 0;
  int fault_observed_at_ = 0;
  int stopped_at_ = 1 << 30;
  uint64_t requests_ = 0;
  uint64_t new_requests_ = 0;
};

// Guards against false stops and against rollouts that miss their target time,
// with a 40 s disturbance in which both versions have more errors and higher
// latency.
TEST_CASE("good versions finish by their target time", "[rollout]") {
  int false_stops = 0;
  for (unsigned seed = 0; seed < 100; ++seed) {
    const auto outcome = Simulation(Fault::kNone, seed).Run();
    INFO("seed " << seed);
    if (outcome.state_.status_ == RolloutStatus::kRolledBack) {
      ++false_stops;
      continue;
    }
    CHECK(outcome.state_.status_ == RolloutStatus::kDone);
    CHECK(outcome.state_.since_ <= outcome.target_);
  }
  CHECK(false_stops <= 1);
}

// Guards against a faulty version that receives more than 5% of the traffic
// before its fault appears, or any request later than 5 s after.
TEST_CASE("faulty versions are stopped", "[rollout]") {
  const auto fault = GENERATE(Fault::kFails, Fault::kSlows, Fault::kFailsLater,
                              Fault::kUnderLoad, Fault::kOneRoute);
  for (unsigned seed = 0; seed < 100; ++seed) {
    const auto outcome = Simulation(fault, seed).Run();
    INFO("fault " << static_cast<int>(fault) << " seed " << seed);
    CHECK(outcome.state_.status_ == RolloutStatus::kRolledBack);
    CHECK(outcome.fault_observed_);
    CHECK(outcome.new_fraction_at_fault_ <= 0.05);
    CHECK(outcome.exposure_seconds_ <= 5);
    if (fault != Fault::kFailsLater && fault != Fault::kUnderLoad) {
      CHECK(outcome.share_at_fault_ <= 500);
    }
  }
}

}  // namespace
}  // namespace clementinerill
