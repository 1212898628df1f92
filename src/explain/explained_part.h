#ifndef CLEMENTINERILL_EXPLAIN_EXPLAINED_PART_H_
#define CLEMENTINERILL_EXPLAIN_EXPLAINED_PART_H_

#include <string>
#include <vector>

#include "explain/explained_attempt.h"

namespace clementinerill {

/// @brief The part of a query that one service answers.
struct ExplainedPart {
  std::string service_;
  std::vector<ExplainedAttempt> attempts_;  ///< In the order of their start.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_EXPLAIN_EXPLAINED_PART_H_
