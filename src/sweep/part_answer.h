#ifndef CLEMENTINERILL_SWEEP_PART_ANSWER_H_
#define CLEMENTINERILL_SWEEP_PART_ANSWER_H_

#include <optional>
#include <string>
#include <vector>

#include "sweep/hit.h"
#include "sweep/key_range.h"
#include "sweep/snapshot.h"

namespace clementinerill {

/// @brief The answer of one upstream to one part of a query.
struct PartAnswer {
  Snapshot snapshot_;
  std::optional<KeyRange>
      range_;  ///< Keys searched; empty for single-upstream routes.
  std::vector<Hit> hits_;
  std::string body_;  ///< JSON text; single-upstream routes only.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_PART_ANSWER_H_
