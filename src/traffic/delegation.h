#ifndef CLEMENTINERILL_TRAFFIC_DELEGATION_H_
#define CLEMENTINERILL_TRAFFIC_DELEGATION_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/buffer_budget.h"
#include "base/time.h"

namespace clementinerill::traffic {

struct FleetState;
struct Query;

/// @brief Parts of a query that are gathered by another daemon than the one
/// that answers it.
struct PartSubset {
  std::vector<size_t> parts_;  ///< Indices of shards of the route, ascending.
  /// Parts that may be missing when the objective ends.
  size_t max_missing_ = 0;
  /// Parts that may be skipped because their replicas are overloaded. Smaller,
  /// so that the daemons of one query together skip no more than allowed.
  size_t max_skipped_ = 0;
};

/// @brief State of a delegation.
enum class DelegationState {
  kOpen,      ///< The response is awaited.
  kAnswered,  ///< `signatures_` and `body_` hold the contribution.
  kFailed,    ///< No response after the start.
  kReturned,  ///< Its parts are gathered by this daemon.
};

/// @brief Parts of a query that an aggregator of another failure domain
/// gathers, because only that domain has replicas of them nearby.
struct Delegation {
  std::string failure_domain_;
  PartSubset subset_;
  DelegationState state_ = DelegationState::kOpen;
  std::string signatures_;  ///< Of the parts answered, separated by commas.
  std::string body_;        ///< Merged records.
  BufferHold hold_ = {};    ///< Counts the bytes of `body_`.
};

/// @brief Delegates the parts without a usable replica in this failure domain
/// to those domains that have replicas of most of them.
///
/// For aggregators; does nothing on other daemons, for routes that are not
/// aggregated and for queries of a subset of the parts.
void DelegateParts(const FleetState& fleet, Query& query, Instant now);

/// @brief Records the response to a delegation, in which `missing` parts are
/// left out.
void RecordDelegation(Query& query,
                      size_t delegation,
                      size_t missing,
                      std::string signatures,
                      std::string body);

/// @brief Lets this daemon gather the parts of a delegation. With
/// `may_have_run` the aggregator may have sent them to replicas.
void ReturnDelegation(Query& query,
                      size_t delegation,
                      bool may_have_run,
                      Instant now);

/// @brief Marks the parts of a delegation as failed after its start.
void FailDelegation(Query& query, size_t delegation);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_DELEGATION_H_
