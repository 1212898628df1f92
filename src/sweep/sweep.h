#ifndef CLEMENTINERILL_SWEEP_SWEEP_H_
#define CLEMENTINERILL_SWEEP_SWEEP_H_

// Umbrella header of the sweep library.

#include "sweep/attempt.h"
#include "sweep/attempt_kind.h"
#include "sweep/attempt_result.h"
#include "sweep/coverage.h"
#include "sweep/forward_declarations.h"
#include "sweep/hit.h"
#include "sweep/key_range.h"
#include "sweep/outcome.h"
#include "sweep/part.h"
#include "sweep/part_answer.h"
#include "sweep/query_action.h"
#include "sweep/query_answer.h"
#include "sweep/query_policy.h"
#include "sweep/query_state.h"
#include "sweep/query_step.h"
#include "sweep/reason.h"
#include "sweep/snapshot.h"

#endif  // CLEMENTINERILL_SWEEP_SWEEP_H_
