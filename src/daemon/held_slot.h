#ifndef CLEMENTINERILL_DAEMON_HELD_SLOT_H_
#define CLEMENTINERILL_DAEMON_HELD_SLOT_H_

#include <memory>

#include "warmup/dispatch_ticket.h"
#include "warmup/domain_ramp.h"

namespace clementinerill {

/// @brief The ramps that the request in a slot was counted in.
struct HeldSlot {
  DispatchTicket replica_;
  DispatchTicket domain_;
  std::shared_ptr<DomainRamp> ramp_;  ///< Of the domain at dispatch.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_HELD_SLOT_H_
