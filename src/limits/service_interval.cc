#include "limits/service_interval.h"

#include <algorithm>

namespace clementinerill {
namespace {

Duration MeanWith(const ServiceInterval& interval, Duration sample) noexcept {
  const int weight = std::min(interval.samples_ + 1, kServiceIntervalSamples);
  return interval.mean_ + (sample - interval.mean_) / weight;
}

}  // namespace

void RecordDequeue(ServiceInterval& interval,
                   bool backlog_remains,
                   Instant now) noexcept {
  if (interval.last_dequeue_) {
    interval.mean_ = MeanWith(interval, now - *interval.last_dequeue_);
    interval.samples_ =
        std::min(interval.samples_ + 1, kServiceIntervalSamples);
  }
  interval.last_dequeue_.reset();
  if (backlog_remains) {
    interval.last_dequeue_ = now;
  }
}

void RecordQueueEmptied(ServiceInterval& interval) noexcept {
  interval.last_dequeue_.reset();
}

Duration CurrentInterval(const ServiceInterval& interval,
                         Instant now) noexcept {
  if (!interval.last_dequeue_) {
    return interval.mean_;
  }
  return std::max(interval.mean_,
                  MeanWith(interval, now - *interval.last_dequeue_));
}

}  // namespace clementinerill
