#ifndef CLEMENTINERILL_SWEEP_REASON_H_
#define CLEMENTINERILL_SWEEP_REASON_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Why an answer is not complete. Each value has a counter.
enum class Reason {
  kNone,
  kUnknownRoute,
  kMalformedRequest,
  kRequestTooLarge,
  kInvalidDeadline,
  kNoConfiguration,
  kNoSeat,
  kDraining,
  kOverloaded,
  kDeadlineUnreachable,
  kNoSnapshot,
  kNoUpstream,
  kNoSlot,
  kUpstreamShed,
  kUpstreamUnreachable,
  kUpstreamFailed,
  kConnectionBroken,
  kDeadlinePassed,
  kCallerDisconnected,
  kKeyReused,
  kForwardFailed,
  kRetryBudget,
};

inline constexpr std::array<NameEntry<Reason>, 22> kReasonNames = {{
    {Reason::kNone, "none"},
    {Reason::kUnknownRoute, "unknown_route"},
    {Reason::kMalformedRequest, "malformed_request"},
    {Reason::kRequestTooLarge, "request_too_large"},
    {Reason::kInvalidDeadline, "invalid_deadline"},
    {Reason::kNoConfiguration, "no_configuration"},
    {Reason::kNoSeat, "no_seat"},
    {Reason::kDraining, "draining"},
    {Reason::kOverloaded, "overloaded"},
    {Reason::kDeadlineUnreachable, "deadline_unreachable"},
    {Reason::kNoSnapshot, "no_snapshot"},
    {Reason::kNoUpstream, "no_upstream"},
    {Reason::kNoSlot, "no_slot"},
    {Reason::kUpstreamShed, "upstream_shed"},
    {Reason::kUpstreamUnreachable, "upstream_unreachable"},
    {Reason::kUpstreamFailed, "upstream_failed"},
    {Reason::kConnectionBroken, "connection_broken"},
    {Reason::kDeadlinePassed, "deadline_passed"},
    {Reason::kCallerDisconnected, "caller_gone"},
    {Reason::kKeyReused, "key_reused"},
    {Reason::kForwardFailed, "forward_failed"},
    {Reason::kRetryBudget, "retry_budget"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_REASON_H_
