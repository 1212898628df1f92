#ifndef CLEMENTINERILL_ROUTING_USABLE_SEAT_H_
#define CLEMENTINERILL_ROUTING_USABLE_SEAT_H_

#include "membership/seat_permit.h"

namespace clementinerill {

/// @brief A seat of a pool that this daemon may use while its permit lasts.
struct UsableSeat {
  int seat_ = 0;
  SeatPermit permit_;
  /// False once the seat has moved: only queries already running use it, until
  /// the permit ends. The next holder waits longer than that.
  bool accepts_new_ = true;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_USABLE_SEAT_H_
