#ifndef CLEMENTINERILL_TRAFFIC_QUERY_OUTCOME_H_
#define CLEMENTINERILL_TRAFFIC_QUERY_OUTCOME_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill::traffic {

/// @brief How a query ends.
enum class QueryOutcome {
  kOpen,          ///< Still in progress.
  kComplete,      ///< All parts were answered.
  kPartial,       ///< Not all, but enough parts were answered.
  kRefused,       ///< No replica ran the request or will run it.
  kFailed,        ///< A replica ran it and failed, or its response was lost.
  kTimedOut,      ///< The deadline passed while a replica may have run it.
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
