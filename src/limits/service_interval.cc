#include "limits/service_interval.h"

#include <algorithm>

namespace clementinerill {
namespace {

Duration MeanWith(const ServiceInterval& interval, Duration sample) noexcept {
  const int weight = std::min(interval.samples_ + 1, kServiceIntervalSamples);
  return interval.mean_ + (sample - interval.mean_) / weight;
}

}  // namespace

void RecordTake(ServiceInterval& interval,
                bool backlog_remains,
                Instant now) noexcept {
  if (interval.last_take_) {
    interval.mean_ = MeanWith(interval, now - *interval.last_take_);
    interval.samples_ =
        std::min(interval.samples_ + 1, kServiceIntervalSamples);
  }
  interval.last_take_.reset();
  if (backlog_remains) {
    interval.last_take_ = now;
  }
}

void RecordEmpty(ServiceInterval& interval) noexcept {
  interval.last_take_.reset();
}

Duration CurrentInterval(const ServiceInterval& interval,
                         Instant now) noexcept {
  if (!interval.last_take_) {
    return interval.mean_;
  }
  return std::max(interval.mean_,
                  MeanWith(interval, now - *interval.last_take_));
}

}  // namespace clementinerill
