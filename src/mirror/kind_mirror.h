#ifndef CLEMENTINERILL_MIRROR_KIND_MIRROR_H_
#define CLEMENTINERILL_MIRROR_KIND_MIRROR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "mirror/kind_changes.h"

namespace clementinerill::mirror {

/// @brief A daemon's copy of the objects of one kind.
///
/// Filled from the store or from another daemon's copy; it never goes back to
/// an older revision.
struct KindMirror {
  struct Change {
    int64_t revision_ = 0;
    std::string name_;
  };

  int64_t revision_ = 0;  ///< 0 until the first list.
  std::map<std::string, StoredObject> objects_;
  std::deque<Change> changes_;  ///< Recent ones, oldest first.
  int64_t changes_since_ = 0;   ///< `changes_` is complete after this revision.
  /// When the store, or another daemon on its behalf, last confirmed the copy.
  std::optional<Instant> confirmed_;
};

/// @brief Takes changes that lead up to `changes.revision_`; whether they are
/// newer than the copy. Older ones change nothing.
bool Apply(KindMirror& mirror, const KindChanges& changes);

/// @brief Notes that the copy was confirmed at `when`, unless it was later.
void Confirm(KindMirror& mirror, Instant when);

/// @brief How long ago the copy was confirmed; `Duration::max()` if never.
[[nodiscard]] Duration Age(const KindMirror& mirror, Instant now);

/// @brief What a reader at `revision` lacks; complete when the recent changes
/// do not reach back to it.
[[nodiscard]] KindChanges ChangesSince(const KindMirror& mirror,
                                       int64_t revision);

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_KIND_MIRROR_H_
