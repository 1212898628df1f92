#ifndef CLEMENTINERILL_WARMUP_DOMAIN_RAMP_H_
#define CLEMENTINERILL_WARMUP_DOMAIN_RAMP_H_

#include <optional>

#include "warmup/dispatch_ticket.h"
#include "warmup/ramp.h"

namespace clementinerill {

/// The initial limit of a failure domain that returns to service is its slots
/// divided by this.
inline constexpr int kDomainInitialLimitDivisor = 10;

/// @brief Limit on in-flight requests to a failure domain that has returned to
/// service.
///
/// Each seat has its own ramp: `slots_` is the sum of the seat's shares of the
/// replicas of the domain. The shares of all seats add up to the slots of the
/// domain, so the sum of the seats' limits bounds its load.
struct DomainRamp {
  bool active_ = false;  ///< If false, the domain has no limit of its own.
  int slots_ = 0;
  int in_flight_ = 0;
  Ramp ramp_;
};

/// @brief Starts the ramp after an operator returns the domain to service.
///
/// The caller must also mark every replica of the domain cold with
/// `ColdReason::kDomainReturned`.
void StartDomainRamp(DomainRamp& domain, int slots) noexcept;

/// @brief Counts a request to the domain as in flight if the limit allows it.
/// @return the ticket to pass to `FinishDomainRequest`, or nothing at the
/// limit.
[[nodiscard]] std::optional<DispatchTicket> StartDomainRequest(
    DomainRamp& domain) noexcept;

/// @brief Ends a request to the domain.
///
/// `fast` is true for a successful response with a latency accepted by
/// `IsFastResponse`. A shed request halves the limit. The ramp ends after
/// enough fast responses at a limit of all slots.
void FinishDomainRequest(DomainRamp& domain,
                         const DispatchTicket& ticket,
                         bool fast,
                         bool shed) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_DOMAIN_RAMP_H_
