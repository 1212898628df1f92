#ifndef CLEMENTINERILL_DAEMON_ATTEMPT_EVENT_H_
#define CLEMENTINERILL_DAEMON_ATTEMPT_EVENT_H_

#include <cstddef>

#include "upstream/exchange_result.h"

namespace clementinerill {

/// @brief The result of one attempt, posted to the thread that runs its query.
struct AttemptEvent {
  int generation_ = 0;  ///< Query restarts when the attempt started.
  size_t part_ = 0;
  size_t attempt_ = 0;
  ExchangeResult result_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_ATTEMPT_EVENT_H_
