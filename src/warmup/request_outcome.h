#ifndef CLEMENTINERILL_WARMUP_REQUEST_OUTCOME_H_
#define CLEMENTINERILL_WARMUP_REQUEST_OUTCOME_H_

namespace clementinerill {

/// @brief How an exchange with a replica ended.
enum class RequestOutcome {
  kAnswered,  ///< 200: the replica did the work.
  kShed,      ///< 503: refused before running.
  kOther,     ///< Conflict, cancellation, deadline or broken connection.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_REQUEST_OUTCOME_H_
