#ifndef CLEMENTINERILL_LIMITS_SLOT_GRANT_H_
#define CLEMENTINERILL_LIMITS_SLOT_GRANT_H_

#include "base/time.h"

namespace clementinerill {

/// @brief One acquired slot, to be released exactly once.
struct SlotGrant {
  Instant acquired_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_SLOT_GRANT_H_
