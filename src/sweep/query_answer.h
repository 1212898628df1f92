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

/// @brief The answer to one caller.
struct QueryAnswer {
  std::string request_id_;
  Outcome outcome_ = Outcome::kRefused;
  Reason reason_ = Reason::kNone;
  double coverage_ = 0;  ///< From 0 to 1; 1 only when complete.
  std::vector<KeyRange> missing_;
  std::optional<Snapshot> snapshot_;
  std::vector<Hit> hits_;  ///< Best first; routes that fan out.
  std::string body_;       ///< JSON text; routes to one upstream.
};

/// @brief An answer for a request that was not sent anywhere.
[[nodiscard]] QueryAnswer RefusedAnswer(std::string request_id, Reason reason);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_QUERY_ANSWER_H_
