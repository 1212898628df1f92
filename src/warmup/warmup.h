#ifndef CLEMENTINERILL_WARMUP_WARMUP_H_
#define CLEMENTINERILL_WARMUP_WARMUP_H_

// Includes the whole warmup library.

#include "warmup/answer_kind.h"
#include "warmup/answer_signals.h"
#include "warmup/cold_reason.h"
#include "warmup/dispatch_ticket.h"
#include "warmup/domain_ramp.h"
#include "warmup/forward_declarations.h"
#include "warmup/latency_track.h"
#include "warmup/ramp.h"
#include "warmup/replica_load.h"
#include "warmup/replica_warmup.h"
#include "warmup/seat_role.h"
#include "warmup/share_plan.h"
#include "warmup/warmup_admission.h"
#include "warmup/warmup_candidate.h"
#include "warmup/warmup_limits.h"
#include "warmup/warmup_phase.h"
#include "warmup/warmup_seat.h"

#endif  // CLEMENTINERILL_WARMUP_WARMUP_H_
