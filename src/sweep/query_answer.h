#ifndef CLEMENTINERILL_SWEEP_QUERY_ANSWER_H_
#define CLEMENTINERILL_SWEEP_QUERY_ANSWER_H_

#include <optional>
#include <string>
#include <vector>

#include "sweep/hit.h"
#include "sweep/key_range.h"
#include "sweep/outcome.h"
#include "sweep/reason.h"
#include "sweep/snapshot.h"

namespace clementinerill {

/// @brief The answer to a query, as returned to its caller.
struct QueryAnswer {
  std::string request_id_;
  Outcome outcome_ = Outcome::kRefused;
  Reason reason_ = Reason::kNone;
  double coverage_ = 0;  ///< Fraction from 0 to 1; 1 only if complete.
  std::vector<KeyRange> missing_;
  std::optional<Snapshot> snapshot_;
  std::vector<Hit> hits_;  ///< Best first; fan-out routes only.
  std::string body_;       ///< JSON text; single-upstream routes only.
};

/// @brief Builds the answer for a request that was not sent to any upstream.
[[nodiscard]] QueryAnswer RefusedAnswer(std::string request_id, Reason reason);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_QUERY_ANSWER_H_
