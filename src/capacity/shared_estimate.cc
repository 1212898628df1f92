#include "capacity/shared_estimate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace clementinerill::capacity {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A daemon shares what rests on this number of observations at least.
constexpr double kMinWeight = 2;
// Upper bound of the weight of a daemon, so that busy ones do not outvote the
// others after a change.
constexpr double kMaxWeight = 60;
// Older observations are not shared.
constexpr Duration kMaxAge = seconds(20);
constexpr Duration kHalfLife = seconds(10);
// Reports arrive about once a second; those of a lost daemon are dropped.
constexpr Duration kMaxReportAge = seconds(4);
constexpr size_t kMaxProcesses = 2000;
// Differences from the other replicas below which an estimate is not shared.
constexpr double kMinLogSlowness = 0.05;
constexpr double kMaxAcceptedShare = 0.95;
// Bound of the logarithm, as in estimates of a single daemon.
constexpr double kMaxLogSlowness = 1.0;

double WeightNow(const SharedEstimate& shared) {
  return shared.weight_ *
         std::exp2(-static_cast<double>(shared.age_.count()) /
                   static_cast<double>(Duration(kHalfLife).count()));
}

void Add(SharedEstimate& sum, const SharedEstimate& more) {
  const double before = WeightNow(sum);
  const double added = WeightNow(more);
  if (added <= 0) {
    return;
  }
  const double share = added / (before + added);
  sum.log_slowness_ += share * (more.log_slowness_ - sum.log_slowness_);
  sum.accepted_share_ += share * (more.accepted_share_ - sum.accepted_share_);
  sum.age_ += Scale(more.age_ - sum.age_, share);
  sum.weight_ += more.weight_;
}

// Other daemons may send any numbers.
SharedEstimate Bounded(SharedEstimate shared, Duration since_received) {
  const auto finite = [](double value, double low, double high, double other) {
    return std::isfinite(value) ? std::clamp(value, low, high) : other;
  };
  shared.log_slowness_ =
      finite(shared.log_slowness_, -kMaxLogSlowness, kMaxLogSlowness, 0);
  shared.accepted_share_ = finite(shared.accepted_share_, 0, 1, 1);
  shared.weight_ = finite(shared.weight_, 0, kMaxWeight * kMaxProcesses, 0);
  shared.age_ = std::clamp(shared.age_, Duration::zero(), Duration(kMaxAge)) +
                since_received;
  return shared;
}

void KeepHeaviest(std::vector<SharedEstimate>& estimates) {
  if (estimates.size() <= kMaxSharedEstimates) {
    return;
  }
  std::nth_element(estimates.begin(), estimates.begin() + kMaxSharedEstimates,
                   estimates.end(), [](const auto& a, const auto& b) {
                     return a.weight_ > b.weight_;
                   });
  estimates.resize(kMaxSharedEstimates);
}

}  // namespace

std::optional<SharedEstimate> Share(const Estimate& estimate,
                                    uint32_t replica,
                                    Instant now) {
  SharedEstimate shared;
  shared.replica_ = replica;
  shared.log_slowness_ = estimate.log_slowness_;
  shared.accepted_share_ = estimate.accepted_share_;
  shared.weight_ = std::min(Evidence(estimate, now), kMaxWeight);
  shared.age_ = now - estimate.evidence_at_;
  const bool is_usual = std::abs(shared.log_slowness_) < kMinLogSlowness &&
                        shared.accepted_share_ > kMaxAcceptedShare;
  if (!estimate.is_learning_ || is_usual || shared.weight_ < kMinWeight ||
      shared.age_ > kMaxAge) {
    return std::nullopt;
  }
  return shared;
}

void ApplyShared(Estimate& estimate,
                 const SharedEstimate& shared,
                 Instant now) {
  const SharedEstimate bounded = Bounded(shared, Duration::zero());
  estimate.is_learning_ = true;
  estimate.shared_log_slowness_ = bounded.log_slowness_;
  estimate.shared_accepted_share_ = bounded.accepted_share_;
  estimate.shared_weight_ = bounded.weight_;
  estimate.shared_at_ = now - bounded.age_;
}

void RecordShared(FleetEstimates& fleet,
                  const std::string& process,
                  std::vector<SharedEstimate> estimates,
                  bool is_direct,
                  Instant now) {
  auto& processes = fleet.by_process_;
  if (processes.size() >= kMaxProcesses && processes.count(process) == 0) {
    processes.erase(std::min_element(
        processes.begin(), processes.end(), [](const auto& a, const auto& b) {
          return a.second.received_ < b.second.received_;
        }));
  }
  KeepHeaviest(estimates);
  processes[process] = {std::move(estimates), now, is_direct};
}

std::vector<SharedEstimate> MergeShared(const FleetEstimates& fleet,
                                        bool only_direct,
                                        Instant now) {
  std::map<uint32_t, SharedEstimate> merged;
  for (const auto& [process, report] : fleet.by_process_) {
    const Duration age = now - report.received_;
    if (age > kMaxReportAge || (only_direct && !report.is_direct_)) {
      continue;
    }
    for (const SharedEstimate& shared : report.estimates_) {
      SharedEstimate& sum = merged[shared.replica_];
      sum.replica_ = shared.replica_;
      Add(sum, Bounded(shared, age));
    }
  }
  std::vector<SharedEstimate> estimates;
  estimates.reserve(merged.size());
  for (const auto& [replica, shared] : merged) {
    estimates.push_back(shared);
  }
  KeepHeaviest(estimates);
  return estimates;
}

}  // namespace clementinerill::capacity
