#ifndef CLEMENTINERILL_TRAFFIC_PART_FAILURE_REASON_H_
#define CLEMENTINERILL_TRAFFIC_PART_FAILURE_REASON_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill::traffic {

/// @brief Why the service of a part can no longer contribute a response.
enum class PartFailureReason {
  kNone,
  kUnknownService,  ///< No configuration or replica names the service.
  kNoReplica,       ///< No remaining replica may receive the request.
  kAttemptsUsed,    ///< The route allows no further attempt.
  kLimitReached,    ///< The budget for extra attempts is exhausted.
  kRateLimited,     ///< All replicas have reached the rate that they accept.
  kDelegated,       ///< Missing in the response of another daemon.
  kAccessLost,      ///< See `Query::access_refusal_`.
};

inline constexpr std::array<NameEntry<PartFailureReason>, 8>
    kPartFailureReasonNames = {{
        {PartFailureReason::kNone, "none"},
        {PartFailureReason::kUnknownService, "unknown_service"},
        {PartFailureReason::kNoReplica, "no_replica"},
        {PartFailureReason::kAttemptsUsed, "attempts_used"},
        {PartFailureReason::kLimitReached, "limit_reached"},
        {PartFailureReason::kRateLimited, "rate_limited"},
        {PartFailureReason::kDelegated, "delegated"},
        {PartFailureReason::kAccessLost, "access_lost"},
    }};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_PART_FAILURE_REASON_H_
