#ifndef CLEMENTINERILL_TRAFFIC_QUERY_OUTCOME_H_
#define CLEMENTINERILL_TRAFFIC_QUERY_OUTCOME_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill::traffic {

/// @brief How a query ends.
enum class QueryOutcome {
  kOpen,      ///< Not yet decided.
  kComplete,  ///< All parts are in.
  kPartial,   ///< Enough parts are in.
  kRefused,   ///< No replica ran it and none will.
  kFailed,    ///< A replica ran it and failed, or its answer was lost.
  kTimedOut,  ///< The deadline passed while a replica may have been at work.
  kDisconnected,  ///< The caller closed its connection.
};

inline constexpr std::array<NameEntry<QueryOutcome>, 7> kQueryOutcomeNames = {{
    {QueryOutcome::kOpen, "open"},
    {QueryOutcome::kComplete, "complete"},
    {QueryOutcome::kPartial, "partial"},
    {QueryOutcome::kRefused, "refused"},
    {QueryOutcome::kFailed, "failed"},
    {QueryOutcome::kTimedOut, "timed_out"},
    {QueryOutcome::kDisconnected, "caller_left"},
}};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_QUERY_OUTCOME_H_
