#ifndef CLEMENTINERILL_ROUTING_ROUTING_H_
#define CLEMENTINERILL_ROUTING_ROUTING_H_

// Umbrella header of the routing library.

#include "routing/build_routing_table.h"
#include "routing/choose_candidate.h"
#include "routing/forward_declarations.h"
#include "routing/latency_window.h"
#include "routing/pool_seats.h"
#include "routing/routing_pool.h"
#include "routing/routing_service.h"
#include "routing/routing_table.h"
#include "routing/routing_target.h"
#include "routing/upstream_candidate.h"
#include "routing/upstream_health.h"
#include "routing/usable_seat.h"

#endif  // CLEMENTINERILL_ROUTING_ROUTING_H_
