#ifndef CLEMENTINERILL_WARMUP_WARMUP_H_
#define CLEMENTINERILL_WARMUP_WARMUP_H_

// Includes all headers of the warmup library.

#include "warmup/cold_reason.h"
#include "warmup/dispatch_ticket.h"
#include "warmup/domain_ramp.h"
#include "warmup/forward_declarations.h"
#include "warmup/latency_tracker.h"
#include "warmup/ramp.h"
#include "warmup/replica_load.h"
#include "warmup/replica_warmup.h"
#include "warmup/request_outcome.h"
#include "warmup/response_signals.h"
#include "warmup/seat_role.h"
#include "warmup/select_warmup_seat.h"
#include "warmup/share_plan.h"
#include "warmup/warmup_admission.h"
#include "warmup/warmup_candidate.h"
#include "warmup/warmup_limits.h"
#include "warmup/warmup_phase.h"

#endif  // CLEMENTINERILL_WARMUP_WARMUP_H_
