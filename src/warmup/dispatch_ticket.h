#ifndef CLEMENTINERILL_WARMUP_DISPATCH_TICKET_H_
#define CLEMENTINERILL_WARMUP_DISPATCH_TICKET_H_

#include <cstdint>

namespace clementinerill {

/// @brief Identifies the ramp level at which a request was sent.
///
/// Responses to requests sent at an earlier level do not raise the limit.
struct DispatchTicket {
  uint64_t level_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_DISPATCH_TICKET_H_
