#include "capacity/estimate.h"

#include <algorithm>
#include <cmath>

namespace clementinerill::capacity {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A disturbance of up to a window's length falls into two windows at most,
// which the median of five ignores. Pauses last 100 to 200 ms and a
// neighbour's noise a third of a second.
constexpr Duration kWindowLength = milliseconds(400);
// Observations of a window at which it moves the estimate half the way to the
// median: windows with few observations are averaged over time.
constexpr double kHalfWeight = 3;
// Weight of an observation under load, which says less about the speed, and the
// share of the slots above which a replica is under load.
constexpr double kLoadedWeight = 0.25;
constexpr double kLoadedShare = 0.5;
// Bounds of the logarithm of one observation, that is 0.37 to 2.7.
constexpr double kMaxLogRatio = 1.0;
// Minimum weight of an observation in a moving average, and the interval at
// which its weight is one half: a daemon that sends few requests to a replica
// has to learn from few responses.
constexpr Duration kRecentInterval = milliseconds(700);
constexpr Duration kRecentHalfLife = milliseconds(2500);
// Observations of a level at which it is used, and the most that count, which
// sets how fast it changes.
constexpr double kMinLevelCount = 8;
constexpr double kMaxLevelCount = 60;
// Growth of the latency from idle to full slots where it is not known. Some
// replicas slow down when they are nearly full.
constexpr double kUsualLogGrowth = 0.26;  // 1.3
// Latency relative to that of an idle replica up to which requests are handled
// well.
constexpr double kHandledWell = 1.5;
// A replica that answers nothing for this multiple of the median is paused.
constexpr double kStalled = 2.5;
// Change of the accepted share with a refusal and with an answer at that load.
constexpr double kRefusedFactor = 0.9;
constexpr double kAnsweredFactor = 1.01;
// Share of the accepted requests from which an answer shows that there is more.
constexpr double kProvingShare = 0.75;
// How long a reported pace says something about the present.
constexpr Duration kPaceHalfLife = milliseconds(150);
constexpr Duration kPaceExpiry = milliseconds(600);
// For how long an earlier pace explains the latency of an answer.
constexpr Duration kPaceMemory = milliseconds(300);
// Half-life of estimates without new observations.
constexpr Duration kEvidenceHalfLife = seconds(20);
constexpr Duration kExpiry = seconds(60);
// The same for estimates of other daemons, which report about once a second,
// and the number of their observations below which they are not used.
constexpr Duration kSharedHalfLife = seconds(10);
constexpr double kMinSharedWeight = 1;
// Bounds of the reported pace as a factor; others are mistakes.
// Half-life of a reported load: queues of a few requests of 5 to 20 ms change
// within this time.
constexpr Duration kLoadHalfLife = milliseconds(40);
constexpr double kMinPace = 0.25;
constexpr double kMaxPace = 8.0;

double Decay(Duration age, Duration half_life) {
  return age <= Duration::zero()
             ? 1.0
             : std::exp2(-static_cast<double>(age.count()) /
                         static_cast<double>(half_life.count()));
}

double PaceFactor(const Report& report) {
  return std::clamp(report.pace_ / 100.0, kMinPace, kMaxPace);
}

double Busy(const Report& report) {
  return std::max(report.running_ + report.waiting_, 1);
}

void RememberPace(Estimate& estimate, double pace, Instant now) {
  if (pace >= estimate.earlier_pace_ ||
      now - estimate.earlier_pace_at_ > kPaceMemory) {
    estimate.earlier_pace_ = pace;
    estimate.earlier_pace_at_ = now;
  }
}

void CloseWindow(Estimate& estimate) {
  if (estimate.window_weight_ <= 0) {
    return;
  }
  const double weight = estimate.window_weight_;
  estimate.windows_[estimate.next_window_] = estimate.window_sum_ / weight;
  estimate.next_window_ = (estimate.next_window_ + 1) % Estimate::kWindows;
  auto sorted = estimate.windows_;
  auto* const middle = sorted.begin() + Estimate::kWindows / 2;
  std::nth_element(sorted.begin(), middle, sorted.end());
  estimate.log_slowness_ +=
      weight / (weight + kHalfWeight) * (*middle - estimate.log_slowness_);
  estimate.window_sum_ = 0;
  estimate.window_weight_ = 0;
}

void AddToWindow(Estimate& estimate,
                 double log_ratio,
                 double weight,
                 Instant now) {
  if (now - estimate.window_start_ >= kWindowLength) {
    CloseWindow(estimate);
    estimate.window_start_ = now;
  }
  estimate.window_sum_ +=
      weight * std::clamp(log_ratio, -kMaxLogRatio, kMaxLogRatio);
  estimate.window_weight_ += weight;
}

void AddEvidence(Estimate& estimate, Instant now) {
  estimate.evidence_ =
      1 + estimate.evidence_ *
              Decay(now - estimate.evidence_at_, kEvidenceHalfLife);
  estimate.evidence_at_ = now;
}

// Whether a request was in progress during a stall of the replica, or in the
// time after it in which the replica works off what has queued up.
bool MetStall(Estimate& estimate, const Observation& observation, Instant now) {
  const Duration silence =
      now - std::max(observation.sent_, estimate.last_answer_);
  if (silence >= Scale(observation.median_, kStalled)) {
    estimate.stall_over_at_ = now + silence;
  }
  estimate.last_answer_ = now;
  return observation.sent_ < estimate.stall_over_at_;
}

void ScaleAccepted(Estimate& estimate, double factor) {
  const double slots = std::max(estimate.report_.slots_, 1);
  estimate.accepted_share_ =
      std::clamp(estimate.accepted_share_ * factor, 1.0 / slots, 1.0);
}

void AddToLevel(Estimate& estimate, double log_ratio) {
  const Report& report = estimate.report_;
  const size_t level = static_cast<size_t>(std::max(report.running_ - 1, 0)) *
                       Estimate::kLevels / static_cast<size_t>(report.slots_);
  LoadLevel& known = estimate.levels_[level];
  known.count_ = std::min(known.count_ + 1, kMaxLevelCount);
  known.log_ratio_ +=
      (std::clamp(log_ratio, -kMaxLogRatio, kMaxLogRatio) - known.log_ratio_) /
      known.count_;
}

using Curve = std::array<double, Estimate::kLevels>;

// Logarithms of the slowdown in the middle of each level. It never falls with
// more load; unknown levels grow as usual.
Curve SlowdownCurve(const Estimate& estimate) {
  constexpr double kStep = kUsualLogGrowth / Estimate::kLevels;
  Curve curve{};
  curve[0] = kStep / 2;
  const LoadLevel* below = nullptr;
  for (size_t i = 0; i < Estimate::kLevels; ++i) {
    const LoadLevel& level = estimate.levels_[i];
    if (i > 0) {
      curve[i] = curve[i - 1] + kStep;
    }
    if (level.count_ < kMinLevelCount) {
      continue;
    }
    if (below != nullptr) {
      const double since_below = level.log_ratio_ - below->log_ratio_;
      const auto from = static_cast<size_t>(below - estimate.levels_.data());
      curve[i] = std::max(curve[i - 1], curve[from] + since_below);
    }
    below = &level;
  }
  return curve;
}

double LogSlowdown(const Curve& curve, double share) {
  const double position = std::clamp(share, 0.0, 1.0) * Estimate::kLevels - 0.5;
  const auto below = static_cast<size_t>(
      std::clamp(position, 0.0, static_cast<double>(Estimate::kLevels - 2)));
  const double fraction = position - static_cast<double>(below);
  return curve[below] + fraction * (curve[below + 1] - curve[below]);
}

// The share of the slots up to which requests are handled well.
double HandledShare(const Curve& curve) {
  const double limit = LogSlowdown(curve, 0) + std::log(kHandledWell);
  constexpr int kSteps = 16;
  for (int i = 1; i <= kSteps; ++i) {
    const double share = static_cast<double>(i) / kSteps;
    if (LogSlowdown(curve, share) > limit) {
      return static_cast<double>(i - 1) / kSteps;
    }
  }
  return 1;
}

// The part of all daemons in an estimate, from 0 to 1, against that of this
// daemon alone.
double SharedPart(const Estimate& estimate, Instant now) {
  const double shared = estimate.shared_weight_ *
                        Decay(now - estimate.shared_at_, kSharedHalfLife);
  if (shared < kMinSharedWeight) {
    return 0;
  }
  return shared / (shared + Evidence(estimate, now));
}

double AcceptedShare(const Estimate& estimate, Instant now) {
  const double own = estimate.accepted_share_;
  return own +
         SharedPart(estimate, now) * (estimate.shared_accepted_share_ - own);
}

// Without observations, a reduced share of the slots returns to all of them.
double ShareOfSlots(const Estimate& estimate,
                    double share,
                    int slots,
                    Instant now) {
  const double missing =
      (1 - share) *
      Decay(now - std::max(estimate.evidence_at_, estimate.shared_at_),
            kEvidenceHalfLife);
  return std::max(1.0, (1 - missing) * std::max(slots, 1));
}

}  // namespace

void RecordReport(Estimate& estimate, const Report& report, Instant now) {
  const double usual = UsualBusy(estimate, now);
  estimate.usual_busy_ =
      usual +
      (1 - Decay(now - estimate.reported_at_, kRecentInterval)) *
          (std::min(report.running_ + report.waiting_, report.slots_) - usual);
  estimate.is_learning_ = true;
  estimate.report_ = report;
  estimate.report_.slots_ = std::max(report.slots_, 1);
  estimate.reported_at_ = now;
  if (report.running_ >= estimate.report_.slots_) {
    estimate.full_at_ = now;
  }
  RememberPace(estimate, PaceFactor(report), now);
}

void RecordAnswer(Estimate& estimate,
                  const Observation& observation,
                  Instant now) {
  if (!estimate.is_learning_ || observation.median_ <= Duration::zero() ||
      now <= observation.sent_) {
    return;
  }
  const Report& report = estimate.report_;
  if (Busy(report) >=
      kProvingShare * estimate.accepted_share_ * report.slots_) {
    ScaleAccepted(estimate, kAnsweredFactor);
  }
  // Requests that waited for the end of a pause say nothing of speed or load.
  if (MetStall(estimate, observation, now)) {
    return;
  }
  const double waited =
      1 + static_cast<double>(report.waiting_) / report.slots_;
  const double log_ratio =
      std::log(ToFractionalMilliseconds(now - observation.sent_) /
               ToFractionalMilliseconds(observation.median_) /
               estimate.earlier_pace_ / waited);
  const bool is_loaded =
      Busy(report) > std::max(1.0, kLoadedShare * report.slots_);
  AddToWindow(estimate, log_ratio, is_loaded ? kLoadedWeight : 1.0, now);
  if (observation.sent_ > estimate.full_at_) {
    AddToLevel(estimate, log_ratio);
  }
  AddEvidence(estimate, now);
}

void RecordRefusal(Estimate& estimate, Instant now) {
  if (!estimate.is_learning_) {
    return;
  }
  estimate.accepted_share_ =
      std::min(estimate.accepted_share_,
               Busy(estimate.report_) / estimate.report_.slots_);
  ScaleAccepted(estimate, kRefusedFactor);
  estimate.last_answer_ = now;
  AddEvidence(estimate, now);
}

bool IsLearned(const Estimate& estimate, Instant now) {
  return estimate.is_learning_ &&
         now - std::max(estimate.reported_at_, estimate.shared_at_) < kExpiry;
}

double LastingSlowness(const Estimate& estimate, Instant now) {
  const double own = estimate.log_slowness_ *
                     Decay(now - estimate.evidence_at_, kEvidenceHalfLife);
  const double shared = SharedPart(estimate, now);
  return std::exp(own + shared * (estimate.shared_log_slowness_ - own));
}

double UsualBusy(const Estimate& estimate, Instant now) {
  return estimate.usual_busy_ *
         Decay(now - estimate.reported_at_, kRecentHalfLife);
}

double ExpectedBusy(const Estimate& estimate, Instant now) {
  const double usual = UsualBusy(estimate, now);
  const double reported = estimate.report_.running_ + estimate.report_.waiting_;
  return usual +
         (reported - usual) * Decay(now - estimate.reported_at_, kLoadHalfLife);
}

double Slowdown(const Estimate& estimate, double busy, int slots) {
  return std::exp(
      LogSlowdown(SlowdownCurve(estimate), busy / std::max(slots, 1)));
}

double Pace(const Estimate& estimate, Instant now) {
  const Duration age = now - estimate.reported_at_;
  if (!estimate.is_learning_ || age >= kPaceExpiry) {
    return 1;
  }
  return 1 + (PaceFactor(estimate.report_) - 1) * Decay(age, kPaceHalfLife);
}

double RecentPace(const Estimate& estimate) {
  return estimate.earlier_pace_;
}

double Evidence(const Estimate& estimate, Instant now) {
  return estimate.evidence_ *
         Decay(now - estimate.evidence_at_, kEvidenceHalfLife);
}

double AcceptedRequests(const Estimate& estimate, int slots, Instant now) {
  return ShareOfSlots(estimate, AcceptedShare(estimate, now), slots, now);
}

double Capacity(const Estimate& estimate, int slots, Instant now) {
  const double share = std::min(AcceptedShare(estimate, now),
                                HandledShare(SlowdownCurve(estimate)));
  return ShareOfSlots(estimate, share, slots, now);
}

}  // namespace clementinerill::capacity
