#ifndef CLEMENTINERILL_WARMUP_DOMAIN_RAMP_H_
#define CLEMENTINERILL_WARMUP_DOMAIN_RAMP_H_

#include <optional>

#include "warmup/dispatch_ticket.h"
#include "warmup/ramp.h"

namespace clementinerill {

/// A returned failure domain starts with one of this many of its slots.
inline constexpr int kDomainStartDivisor = 10;

/// @brief Limit on the requests in flight at a returned failure domain.
///
/// One seat's view: `slots_` is the sum of its shares at the replicas of the
/// domain. The shares of the seats add up, and so do the limits.
struct DomainRamp {
  bool active_ = false;  ///< False: the domain has no limit of its own.
  int slots_ = 0;
  int in_flight_ = 0;
  Ramp ramp_;
};

/// @brief Starts the ramp when an operator returns the domain to service.
///
/// The caller also marks every replica of the domain cold with
/// `ColdReason::kDomainReturned`.
void StartDomainRamp(DomainRamp& domain, int slots) noexcept;

/// @brief Counts a request to the domain if its limit allows one more.
[[nodiscard]] std::optional<DispatchTicket> StartDomainRequest(
    DomainRamp& domain) noexcept;

/// @brief Ends a request to the domain.
///
/// `useful` is true for an answer that was fast and not shed. A shed halves
/// the limit. The ramp ends after enough useful answers at all slots.
void FinishDomainRequest(DomainRamp& domain,
                         const DispatchTicket& ticket,
                         bool useful,
                         bool shed) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_DOMAIN_RAMP_H_
