#ifndef CLEMENTINERILL_ROUTING_USABLE_SEAT_H_
#define CLEMENTINERILL_ROUTING_USABLE_SEAT_H_

#include "membership/seat_permit.h"

namespace clementinerill {

/// @brief A seat of a pool that this daemon may use while its permit is valid.
struct UsableSeat {
  int seat_ = 0;
  SeatPermit permit_;
  /// False once the seat has moved to another holder. Queries already running
  /// may use it until the permit expires; the next holder waits longer than
  /// that.
  bool accepts_new_ = true;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_USABLE_SEAT_H_
