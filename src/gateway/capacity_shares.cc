#include "gateway/capacity_shares.h"

#include <cmath>
#include <utility>

namespace clementinerill::gateway {
namespace {

// Unit of the numbers in messages.
constexpr double kThousandths = 1000;

CapacityShares::Reports ToMessage(const CapacityShares::Estimates& estimates) {
  CapacityShares::Reports reports;
  reports.reserve(estimates.size());
  for (const capacity::SharedEstimate& shared : estimates) {
    reports.push_back(
        {shared.replica_, std::lround(shared.log_slowness_ * kThousandths),
         std::lround(shared.accepted_share_ * kThousandths),
         std::lround(shared.weight_),
         std::chrono::duration_cast<std::chrono::milliseconds>(shared.age_)});
  }
  return reports;
}

CapacityShares::Estimates FromMessage(const CapacityShares::Reports& reports) {
  CapacityShares::Estimates estimates;
  estimates.reserve(reports.size());
  for (const mirror::CapacityReport& report : reports) {
    estimates.push_back(
        {report.replica_,
         static_cast<double>(report.log_slowness_) / kThousandths,
         static_cast<double>(report.accepted_share_) / kThousandths,
         static_cast<double>(report.observations_), report.age_});
  }
  return estimates;
}

}  // namespace

void CapacityShares::RecordOwn(Estimates estimates, Instant now) {
  capacity::RecordShared(fleet_, process_, std::move(estimates), true, now);
  // A daemon that follows a relay knows its own and those of its relay.
  auto merged = capacity::MergeShared(relayed_, false, now);
  if (merged.empty()) {
    merged = capacity::MergeShared(fleet_, false, now);
  }
  if (publish_ && !merged.empty()) {
    publish_(merged);
  }
}

void CapacityShares::RecordReport(const std::string& process,
                                  const Reports& reports,
                                  bool is_direct,
                                  Instant now) {
  if (reports.empty()) {
    fleet_.by_process_.erase(process);
    return;
  }
  capacity::RecordShared(fleet_, process, FromMessage(reports), is_direct, now);
}

void CapacityShares::RecordSums(const Reports& reports, Instant now) {
  if (!reports.empty()) {
    capacity::RecordShared(relayed_, "", FromMessage(reports), false, now);
  }
}

CapacityShares::Reports CapacityShares::Own(Instant now) const {
  capacity::FleetEstimates own;
  const auto found = fleet_.by_process_.find(process_);
  if (found != fleet_.by_process_.end()) {
    own.by_process_.insert(*found);
  }
  return ToMessage(capacity::MergeShared(own, true, now));
}

CapacityShares::Reports CapacityShares::Direct(Instant now) const {
  return ToMessage(capacity::MergeShared(fleet_, true, now));
}

CapacityShares::Reports CapacityShares::Sums(Instant now) const {
  return ToMessage(capacity::MergeShared(fleet_, false, now));
}

}  // namespace clementinerill::gateway
