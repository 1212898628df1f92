#ifndef CLEMENTINERILL_LIMITS_QUERY_COMPLETION_H_
#define CLEMENTINERILL_LIMITS_QUERY_COMPLETION_H_

namespace clementinerill {

/// @brief How a query that the gate admitted completed.
enum class QueryCompletion {
  kDeadlineMet,     ///< Answered within its deadline; counts as goodput.
  kDeadlineMissed,  ///< Not answered, or not within its deadline.
  kNotRun,          ///< Refused by every upstream or cancelled; not counted.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_QUERY_COMPLETION_H_
