#ifndef CLEMENTINERILL_DUTY_DUTY_H_
#define CLEMENTINERILL_DUTY_DUTY_H_

#include "duty/action.h"
#include "duty/apply_event.h"
#include "duty/candidates.h"
#include "duty/events.h"
#include "duty/forward_declarations.h"
#include "duty/holding.h"
#include "duty/next_action.h"
#include "duty/record.h"
#include "duty/rules.h"
#include "duty/state.h"
#include "duty/token.h"

#endif  // CLEMENTINERILL_DUTY_DUTY_H_
