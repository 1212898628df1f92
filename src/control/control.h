#ifndef CLEMENTINERILL_CONTROL_CONTROL_H_
#define CLEMENTINERILL_CONTROL_CONTROL_H_

// Umbrella header of the control library.

#include "control/apply_if_newer.h"
#include "control/apply_outcome.h"
#include "control/candidate.h"
#include "control/change.h"
#include "control/change_progress.h"
#include "control/change_state.h"
#include "control/configuration_phase.h"
#include "control/configuration_source.h"
#include "control/configuration_state.h"
#include "control/configuration_status.h"
#include "control/fetch_plan.h"
#include "control/fleet_status.h"
#include "control/forward_declarations.h"
#include "control/peer_version.h"
#include "control/rolled_back_change.h"
#include "control/store_access_state.h"
#include "control/store_health.h"
#include "control/store_observation.h"
#include "control/store_role.h"
#include "control/store_schedule.h"
#include "control/version_report.h"

#endif  // CLEMENTINERILL_CONTROL_CONTROL_H_
