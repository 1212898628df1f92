#ifndef CLEMENTINERILL_TRAFFIC_RATE_ALLOWANCE_H_
#define CLEMENTINERILL_TRAFFIC_RATE_ALLOWANCE_H_

#include <cstdint>

#include "base/time.h"

namespace clementinerill::traffic {

/// @brief This daemon's part of the rate that a replica accepts.
///
/// Permits become available one by one at the rate and expire after
/// `kPermitLifetime`. All daemons together thus never send more than the
/// replica accepts in the window and one lifetime, whether they send steadily
/// or all at once after a time without requests.
struct RateAllowance {
  double requests_per_s_ = 0;
  /// Number of permits that have become available until `position_at_`, with
  /// the fraction of the next one.
  double position_ = 0;
  Instant position_at_{};
  double spent_ = 0;  ///< Permits that were used or have expired.
};

inline constexpr Duration kPermitLifetime = std::chrono::seconds(1);

/// @brief Returns an allowance that starts without a permit.
///
/// `phase` in [0, 1) is the fraction of the first permit that has passed; it
/// differs between daemons, so that their permits do not coincide.
[[nodiscard]] RateAllowance MakeRateAllowance(double requests_per_s,
                                              double phase,
                                              Instant now);

/// @brief Changes the rate; permits that are available remain so.
void SetRate(RateAllowance& allowance, double requests_per_s, Instant now);

/// @brief Returns the number of requests that may be sent now.
[[nodiscard]] int AvailablePermits(const RateAllowance& allowance, Instant now);

/// @brief Returns the greatest number of permits that can be available.
[[nodiscard]] double MaxPermits(const RateAllowance& allowance) noexcept;

/// @brief Uses a permit; there must be one.
void UsePermit(RateAllowance& allowance, Instant now);

/// @brief Returns a permit for a request that was not sent.
void ReturnPermit(RateAllowance& allowance);

/// @brief Returns the time from `now` until the next permit becomes available;
/// zero if there is one.
[[nodiscard]] Duration TimeUntilPermit(const RateAllowance& allowance,
                                       Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_RATE_ALLOWANCE_H_
