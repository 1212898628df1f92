#ifndef CLEMENTINERILL_DAEMON_HELD_SLOT_H_
#define CLEMENTINERILL_DAEMON_HELD_SLOT_H_

#include <memory>

#include "warmup/dispatch_ticket.h"
#include "warmup/domain_ramp.h"

namespace clementinerill {

/// @brief The warm-up ramps that count the request in an occupied slot.
struct HeldSlot {
  DispatchTicket replica_;
  DispatchTicket domain_;
  std::shared_ptr<DomainRamp> ramp_;  ///< Ramp of the domain at dispatch.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_HELD_SLOT_H_
