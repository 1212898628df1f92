#include "traffic/rate_allowance.h"

#include <algorithm>
#include <cmath>

namespace clementinerill::traffic {
namespace {

double PositionAt(const RateAllowance& allowance, Instant now) {
  const std::chrono::duration<double> elapsed = now - allowance.position_at_;
  return allowance.position_ + elapsed.count() * allowance.requests_per_s_;
}

// Permits that were used or have expired by `now`.
double SpentAt(const RateAllowance& allowance, Instant now) {
  return std::max(
      allowance.spent_,
      std::floor(PositionAt(allowance, now - Duration(kPermitLifetime))));
}

}  // namespace

RateAllowance MakeRateAllowance(double requests_per_s,
                                double phase,
                                Instant now) {
  return {requests_per_s, phase, now, 0};
}

void SetRate(RateAllowance& allowance, double requests_per_s, Instant now) {
  if (allowance.requests_per_s_ == requests_per_s) {
    return;
  }
  allowance.spent_ = SpentAt(allowance, now);
  allowance.position_ = PositionAt(allowance, now);
  allowance.position_at_ = now;
  allowance.requests_per_s_ = requests_per_s;
}

int AvailablePermits(const RateAllowance& allowance, Instant now) {
  const double available =
      std::floor(PositionAt(allowance, now)) - SpentAt(allowance, now);
  return static_cast<int>(std::max(0.0, available));
}

double MaxPermits(const RateAllowance& allowance) noexcept {
  const std::chrono::duration<double> lifetime = kPermitLifetime;
  return allowance.requests_per_s_ * lifetime.count();
}

void UsePermit(RateAllowance& allowance, Instant now) {
  allowance.spent_ = SpentAt(allowance, now) + 1;
}

void ReturnPermit(RateAllowance& allowance) {
  allowance.spent_ -= 1;
}

Duration TimeUntilPermit(const RateAllowance& allowance, Instant now) {
  const double missing =
      SpentAt(allowance, now) + 1 - PositionAt(allowance, now);
  return missing <= 0 ? Duration::zero()
                      : FromSeconds(missing / allowance.requests_per_s_);
}

}  // namespace clementinerill::traffic
