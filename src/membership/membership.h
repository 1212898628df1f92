#ifndef CLEMENTINERILL_MEMBERSHIP_MEMBERSHIP_H_
#define CLEMENTINERILL_MEMBERSHIP_MEMBERSHIP_H_

// Includes the whole membership library.

#include "membership/advisory.h"
#include "membership/advisory_kind.h"
#include "membership/advisory_map.h"
#include "membership/forward_declarations.h"
#include "membership/group_change.h"
#include "membership/group_pool.h"
#include "membership/group_state.h"
#include "membership/heartbeat.h"
#include "membership/member.h"
#include "membership/next_members.h"
#include "membership/peer_record.h"
#include "membership/previous_group.h"
#include "membership/roster.h"
#include "membership/seat_permit.h"
#include "membership/seat_phase.h"
#include "membership/seat_record.h"
#include "membership/slot_share.h"
#include "membership/timing.h"
#include "membership/witness_group.h"

#endif  // CLEMENTINERILL_MEMBERSHIP_MEMBERSHIP_H_
