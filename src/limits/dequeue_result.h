#ifndef CLEMENTINERILL_LIMITS_DEQUEUE_RESULT_H_
#define CLEMENTINERILL_LIMITS_DEQUEUE_RESULT_H_

#include <optional>
#include <vector>

#include "limits/queue_entry.h"
#include "limits/refused_entry.h"

namespace clementinerill {

/// @brief The entry to run next, if any, and the entries that expired.
struct DequeueResult {
  std::optional<QueueEntry> entry_;
  std::vector<RefusedEntry> refused_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_DEQUEUE_RESULT_H_
