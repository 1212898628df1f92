#ifndef CLEMENTINERILL_TRAFFIC_TRAFFIC_H_
#define CLEMENTINERILL_TRAFFIC_TRAFFIC_H_

// Includes the whole traffic library.

#include "base/caller_limits.h"
#include "traffic/advance_query.h"
#include "traffic/attempt_outcome.h"
#include "traffic/choose_replica.h"
#include "traffic/connection_shares.h"
#include "traffic/extra_attempt_budget.h"
#include "traffic/fleet_comparison.h"
#include "traffic/fleet_state.h"
#include "traffic/forward_declarations.h"
#include "traffic/latency_estimate.h"
#include "traffic/merge_records.h"
#include "traffic/part_failure_reason.h"
#include "traffic/query.h"
#include "traffic/query_outcome.h"
#include "traffic/rate_allowance.h"
#include "traffic/record_report.h"
#include "traffic/replica_directory.h"
#include "traffic/replica_eligibility.h"
#include "traffic/replica_entry.h"
#include "traffic/replica_report.h"
#include "traffic/replica_response.h"
#include "traffic/replica_state.h"
#include "traffic/reported_load.h"
#include "traffic/rollout_order.h"
#include "traffic/route_rule.h"
#include "traffic/service_rule.h"
#include "traffic/skip_overloaded_parts.h"
#include "traffic/start_query.h"
#include "traffic/traffic_configuration.h"
#include "traffic/traffic_view.h"
#include "traffic/version_comparison.h"

#endif  // CLEMENTINERILL_TRAFFIC_TRAFFIC_H_
