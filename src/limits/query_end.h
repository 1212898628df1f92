#ifndef CLEMENTINERILL_LIMITS_QUERY_END_H_
#define CLEMENTINERILL_LIMITS_QUERY_END_H_

namespace clementinerill {

/// @brief How a query that entered the gate ended.
enum class QueryEnd {
  kInTime,  ///< Answered within its deadline; counts as goodput.
  kMissed,  ///< Not answered, or not within its deadline.
  kNotRun,  ///< Refused by every upstream or cancelled; says nothing.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_QUERY_END_H_
