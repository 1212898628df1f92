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

/// @brief The part of a query that is sent to one service.
struct Part {
  std::string service_;
  std::vector<Attempt> attempts_;
  std::optional<PartAnswer> answer_;
  Reason reason_ = Reason::kNone;  ///< Why the last attempt was not started.
  Instant not_before_;             ///< No new attempt before this time.
  bool no_candidate_ = false;      ///< Start no attempt at this snapshot.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_PART_H_
