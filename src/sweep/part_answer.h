#ifndef CLEMENTINERILL_SWEEP_PART_ANSWER_H_
#define CLEMENTINERILL_SWEEP_PART_ANSWER_H_

#include <optional>
#include <string>
#include <vector>

#include "sweep/hit.h"
#include "sweep/key_range.h"
#include "sweep/snapshot.h"

namespace clementinerill {

/// @brief What one upstream answered for one part.
struct PartAnswer {
  Snapshot snapshot_;
  std::optional<KeyRange>
      range_;  ///< Keys searched; absent for one-upstream routes.
  std::vector<Hit> hits_;
  std::string body_;  ///< Answer of a one-upstream route, as JSON text.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_PART_ANSWER_H_
