#ifndef CLEMENTINERILL_GATEWAY_SESSION_CONTEXT_H_
#define CLEMENTINERILL_GATEWAY_SESSION_CONTEXT_H_

#include "gateway/aggregator_pool.h"
#include "gateway/connection_pool.h"
#include "gateway/gateway_metrics.h"
#include "gateway/usage_counter.h"
#include "gateway/wire_names.h"
#include "http/event_loop.h"
#include "traffic/fleet_state.h"

namespace clementinerill::gateway {

/// @brief The state shared by all sessions of a traffic thread.
struct SessionContext {
  http::EventLoop& loop_;
  traffic::FleetState& fleet_;
  ConnectionPool& pool_;
  AggregatorPool& aggregators_;
  const WireNames& names_;
  GatewayMetrics& metrics_;
  const bool& draining_;
  UsageCounter usage_ = {};
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_SESSION_CONTEXT_H_
