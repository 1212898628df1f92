#ifndef CLEMENTINERILL_TRAFFIC_FORWARD_OUTCOME_H_
#define CLEMENTINERILL_TRAFFIC_FORWARD_OUTCOME_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill::traffic {

/// @brief How the forwarding of a query to an aggregator ended.
enum class ForwardOutcome {
  kAnswered,        ///< It returned the final response.
  kRefused,         ///< It has not started the query, and will not.
  kNotSent,         ///< The connection failed before any byte was sent.
  kUnacknowledged,  ///< It did not confirm the start in time.
  kBroken,          ///< The connection ended after the query had started.
  kTimedOut,        ///< The deadline passed after the query had started.
  kCancelled,       ///< The caller has disconnected.
};

inline constexpr std::array<NameEntry<ForwardOutcome>, 7> kForwardOutcomeNames =
    {{
        {ForwardOutcome::kAnswered, "answered"},
        {ForwardOutcome::kRefused, "refused"},
        {ForwardOutcome::kNotSent, "not_sent"},
        {ForwardOutcome::kUnacknowledged, "unacknowledged"},
        {ForwardOutcome::kBroken, "broken"},
        {ForwardOutcome::kTimedOut, "timed_out"},
        {ForwardOutcome::kCancelled, "cancelled"},
    }};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_FORWARD_OUTCOME_H_
