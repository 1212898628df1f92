#ifndef CLEMENTINERILL_TRAFFIC_QUERY_H_
#define CLEMENTINERILL_TRAFFIC_QUERY_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "traffic/attempt_outcome.h"
#include "traffic/choose_replica.h"
#include "traffic/fleet_state.h"
#include "traffic/part_failure_reason.h"
#include "traffic/query_outcome.h"
#include "traffic/replica_response.h"

namespace clementinerill::traffic {

/// @brief One request to one replica on behalf of a part.
struct Attempt {
  std::shared_ptr<ReplicaState> replica_;
  Instant sent_{};
  bool is_hedge_ = false;
  bool is_open_ = true;  ///< Still waiting for an outcome.
  AttemptOutcome outcome_ = AttemptOutcome::kAbandoned;  ///< Once not open.
  Duration duration_{};                                  ///< Once not open.
};

/// @brief State of what one service contributes.
enum class PartState {
  kPending,   ///< Waits for an attempt or its outcome.
  kAnswered,  ///< `response_` holds the contribution.
  kFailed,    ///< Nothing can be had from the service any more.
  kSkipped,   ///< Not asked: its replicas are overloaded, others suffice.
};

/// @brief What one service contributes to a query.
struct QueryPart {
  std::shared_ptr<ServiceState> service_;
  PartState state_ = PartState::kPending;
  std::vector<Attempt> attempts_;
  ReplicaResponse response_;
  /// An answer of a replica that ran the request and failed; passed on when
  /// nothing better comes.
  ReplicaResponse failed_response_;
  bool hedge_refused_ = false;  ///< The budget allowed no hedge.
  PartFailureReason failure_reason_ =
      PartFailureReason::kNone;  ///< Once failed.
};

/// @brief One request of a caller while it is served.
struct Query {
  std::string id_;
  std::shared_ptr<const TrafficView> view_;  ///< Keeps `route_` alive.
  const RouteRule* route_ = nullptr;
  Instant started_{};
  Instant deadline_{};   ///< The caller's or the route's, whichever is first.
  Instant answer_by_{};  ///< An incomplete sweep is answered then.
  Duration hedge_delay_{};  ///< How long an attempt waits before a second one.
  std::vector<QueryPart> parts_;
  bool is_begun_ = false;  ///< First attempts were sent or skipped.
  QueryOutcome outcome_ = QueryOutcome::kOpen;
  Instant wake_at_{};  ///< `Advance` must be called then at the latest.
};

/// @brief An attempt that the traffic thread has to send.
struct SendAction {
  size_t part_ = 0;
  size_t attempt_ = 0;
};

/// @brief Parts that an answer needs; all of them unless it is a sweep.
[[nodiscard]] size_t RequiredParts(const Query& query);

/// @brief Whether any replica may have run the request or may still run it.
[[nodiscard]] bool MayHaveRun(const Query& query);

[[nodiscard]] size_t CountParts(const Query& query, PartState state);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_QUERY_H_
