#ifndef CLEMENTINERILL_ROLLOUT_ROLLOUT_H_
#define CLEMENTINERILL_ROLLOUT_ROLLOUT_H_

// Includes the whole rollout library.

#include "rollout/clear_fault.h"
#include "rollout/forward_declarations.h"
#include "rollout/judge.h"
#include "rollout/latency_axis.h"
#include "rollout/planned_step.h"
#include "rollout/rollout_comparison.h"
#include "rollout/rollout_machine.h"
#include "rollout/rollout_plan.h"
#include "rollout/rollout_request.h"
#include "rollout/rollout_state.h"
#include "rollout/rollout_status.h"
#include "rollout/route_counts.h"
#include "rollout/route_traffic.h"
#include "rollout/share_selection.h"
#include "rollout/statistics.h"
#include "rollout/stop_reason.h"
#include "rollout/verdict.h"
#include "rollout/verdict_kind.h"
#include "rollout/version_counts.h"
#include "rollout/wall_time.h"

#endif  // CLEMENTINERILL_ROLLOUT_ROLLOUT_H_
