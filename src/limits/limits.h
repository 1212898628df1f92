#ifndef CLEMENTINERILL_LIMITS_LIMITS_H_
#define CLEMENTINERILL_LIMITS_LIMITS_H_

// Includes the whole limits library.

#include "limits/adaptive_limit.h"
#include "limits/admission_queue.h"
#include "limits/attempt_budget.h"
#include "limits/dequeue_result.h"
#include "limits/forward_declarations.h"
#include "limits/goodput_interval.h"
#include "limits/latency_trend.h"
#include "limits/query_completion.h"
#include "limits/query_gate.h"
#include "limits/queue_entry.h"
#include "limits/refusal_reason.h"
#include "limits/refused_entry.h"
#include "limits/service_interval.h"
#include "limits/slot_grant.h"
#include "limits/slot_limiter.h"
#include "limits/slot_outcome.h"

#endif  // CLEMENTINERILL_LIMITS_LIMITS_H_
