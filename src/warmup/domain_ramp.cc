#include "warmup/domain_ramp.h"

#include <algorithm>

#include "base/invariant.h"

namespace clementinerill {

void StartDomainRamp(DomainRamp& domain, int slots) noexcept {
  domain.active_ = true;
  domain.slots_ = std::max(1, slots);
  ResetRamp(domain.ramp_,
            std::max(1, domain.slots_ / kDomainInitialLimitDivisor));
}

std::optional<DispatchTicket> StartDomainRequest(DomainRamp& domain) noexcept {
  if (domain.active_ && domain.in_flight_ >= domain.ramp_.limit_) {
    return std::nullopt;
  }
  ++domain.in_flight_;
  return DispatchTicket{domain.ramp_.level_};
}

void FinishDomainRequest(DomainRamp& domain,
                         const DispatchTicket& ticket,
                         bool fast,
                         bool shed) noexcept {
  CR_INVARIANT(domain.in_flight_ > 0);
  --domain.in_flight_;
  if (!domain.active_ || ticket.level_ != domain.ramp_.level_) {
    return;
  }
  if (shed) {
    ResetRamp(domain.ramp_, std::max(1, domain.ramp_.limit_ / 2));
    return;
  }
  if (CountResponse(domain.ramp_, fast, domain.slots_)) {
    domain.active_ = false;
  }
}

}  // namespace clementinerill
