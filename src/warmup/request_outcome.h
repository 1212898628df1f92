#ifndef CLEMENTINERILL_WARMUP_REQUEST_OUTCOME_H_
#define CLEMENTINERILL_WARMUP_REQUEST_OUTCOME_H_

namespace clementinerill {

/// @brief How a request to a replica ended.
enum class RequestOutcome {
  kAnswered,  ///< Status 200: the replica processed the request.
  kShed,      ///< Status 503: the replica rejected the request unprocessed.
  kOther,     ///< Conflict, cancellation, timeout or connection error.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_REQUEST_OUTCOME_H_
