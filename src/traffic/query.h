#ifndef CLEMENTINERILL_TRAFFIC_QUERY_H_
#define CLEMENTINERILL_TRAFFIC_QUERY_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "organisations/access.h"
#include "traffic/attempt_outcome.h"
#include "traffic/choose_replica.h"
#include "traffic/delegation.h"
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
  bool is_open_ = true;  ///< The outcome is not known yet.
  AttemptOutcome outcome_ = AttemptOutcome::kAbandoned;  ///< Once not open.
  Duration duration_{};                                  ///< Once not open.
};

/// @brief State of one part of a query.
enum class PartState {
  kPending,   ///< Waits for an attempt or its outcome.
  kAnswered,  ///< `response_` holds the contribution.
  kFailed,    ///< No attempt can succeed any more.
  kSkipped,   ///< Not sent: its replicas are overloaded, other parts suffice.
};

/// @brief The contribution of one service to a query.
struct QueryPart {
  std::shared_ptr<ServiceState> service_;
  PartState state_ = PartState::kPending;
  std::vector<Attempt> attempts_;
  ReplicaResponse response_;
  /// Response of a replica that ran the request and failed; relayed to the
  /// caller if no attempt succeeds.
  ReplicaResponse failed_response_;
  /// Gathered by another daemon; see `Query::delegations_`.
  bool is_delegated_ = false;
  /// Another daemon may have sent the part to one replica. Each attempt is an
  /// additional one then, and one fewer is allowed.
  bool is_repeat_ = false;
  bool hedge_refused_ = false;  ///< No replica or no budget for a hedge.
  PartFailureReason failure_reason_ = PartFailureReason::kNone;  ///< If failed.
};

/// @brief One request of a caller in progress.
struct Query {
  std::string id_;
  /// Name of the organisation on whose behalf the query runs; empty if none.
  std::string organisation_;
  /// Digest of its key; unset if there is none or another daemon checked it.
  std::optional<organisations::KeyDigest> key_;
  /// Why no further attempt may be sent on behalf of the organisation.
  std::optional<organisations::AccessRefusal> access_refusal_;
  int priority_ = 0;  ///< Of the organisation, or else of the route.
  std::shared_ptr<const TrafficView> view_;  ///< Keeps `route_` alive.
  const RouteRule* route_ = nullptr;
  Instant started_{};
  Instant deadline_{};  ///< The caller's or the route's, whichever is earlier.
  /// When a fan-out query returns even if incomplete.
  Instant partial_response_at_{};
  Duration hedge_delay_{};  ///< Time from an attempt to its hedge.
  std::vector<QueryPart> parts_;
  std::vector<Delegation> delegations_;
  /// Set if another daemon gathers the other parts and answers the caller.
  std::optional<PartSubset> subset_;
  bool is_forwarded_ = false;  ///< Received from another daemon.
  bool is_started_ = false;    ///< First attempts were chosen.
  QueryOutcome outcome_ = QueryOutcome::kOpen;
  Instant wake_at_{};  ///< Latest time of the next call of `Advance`.
};

/// @brief Indices of an attempt that the traffic thread has to send.
struct SendAction {
  size_t part_ = 0;
  size_t attempt_ = 0;
};

/// @brief Returns the number of parts that a response requires: all of them,
/// except for a fan-out query with a lower minimum coverage.
[[nodiscard]] size_t RequiredParts(const Query& query);

/// @brief Whether any replica may have run or may still run the request.
[[nodiscard]] bool MayHaveRun(const Query& query);

/// @brief When a replica may first have begun to run the request: the first
/// dispatch to one that has not refused it. Only for queries that may have run.
[[nodiscard]] Instant FirstRun(const Query& query);

[[nodiscard]] size_t CountParts(const Query& query, PartState state);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_QUERY_H_
