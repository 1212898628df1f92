#ifndef CLEMENTINERILL_SWEEP_PART_H_
#define CLEMENTINERILL_SWEEP_PART_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "sweep/attempt.h"
#include "sweep/part_answer.h"
#include "sweep/reason.h"

namespace clementinerill {

/// @brief The share of a query that one service answers.
struct Part {
  std::string service_;
  std::vector<Attempt> attempts_;
  std::optional<PartAnswer> answer_;
  Reason reason_ = Reason::kNone;  ///< Why the last start was declined.
  Instant not_before_;             ///< No new attempt before this time.
  bool no_candidate_ = false;      ///< No upstream can serve this snapshot.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_PART_H_
