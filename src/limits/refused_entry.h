#ifndef CLEMENTINERILL_LIMITS_REFUSED_ENTRY_H_
#define CLEMENTINERILL_LIMITS_REFUSED_ENTRY_H_

#include "limits/queue_entry.h"
#include "limits/refusal_reason.h"

namespace clementinerill {

/// @brief A request that the queue refused or removed without running it.
struct RefusedEntry {
  QueueEntry entry_;
  RefusalReason reason_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_REFUSED_ENTRY_H_
