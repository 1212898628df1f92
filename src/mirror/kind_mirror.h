#ifndef CLEMENTINERILL_MIRROR_KIND_MIRROR_H_
#define CLEMENTINERILL_MIRROR_KIND_MIRROR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/boot_instant.h"
#include "base/time.h"
#include "mirror/kind_changes.h"

namespace clementinerill::mirror {

/// @brief A daemon's local copy of all objects of one kind.
///
/// Updated from the store or from the copy of another daemon. Its era never
/// decreases, nor does its revision within an era.
struct KindMirror {
  struct Change {
    int64_t revision_ = 0;
    std::string name_;
  };

  /// Number of times that the store has returned from an older copy; 0 if it
  /// names none. Revisions of different eras cannot be compared: those after
  /// the copy are given out again, to other changes.
  int64_t era_ = 0;
  int64_t revision_ = 0;  ///< 0 until the first full list.
  std::map<std::string, StoredObject> objects_;
  std::deque<Change> changes_;  ///< Recent changes, oldest first.
  /// `changes_` contains all changes after this revision.
  int64_t changes_start_ = 0;
  /// When the store last confirmed the copy, directly or through another
  /// daemon.
  std::optional<Instant> confirmed_at_;
  /// Latest time at which the copy certainly had all that the store had
  /// acknowledged; see copy_proof.h. Lost when the era changes.
  std::optional<BootInstant> proven_at_;
  int64_t proven_revision_ = 0;  ///< Of the copy when it was proven.
  bool is_doubtful_ = false;     ///< See `Doubt`.
};

/// @brief Whether revisions of `era` cannot be compared with that of the copy.
[[nodiscard]] bool IsOtherEra(const KindMirror& mirror, int64_t era) noexcept;

/// @brief Records that an exception has ended the application of changes
/// halfway. The next full list replaces the copy unless it is older.
void Doubt(KindMirror& mirror) noexcept;

/// @brief The revision up to which the copy has all changes; 0 if there is none
/// because the copy needs a full list.
[[nodiscard]] int64_t KnownRevision(const KindMirror& mirror) noexcept;

/// @brief Whether the copy is doubtful and `changes` cannot replace it.
[[nodiscard]] bool StaysDoubtful(const KindMirror& mirror,
                                 const KindChanges& changes) noexcept;

/// @brief Applies changes and returns true, or ignores them and returns false
/// if they are not newer than the copy. The first changes of an era must be a
/// full list.
bool Apply(KindMirror& mirror, const KindChanges& changes);

/// @brief Records that the copy was up to date at `when`; ignored if it was
/// confirmed later than that.
void Confirm(KindMirror& mirror, Instant when);

/// @brief Time since the last confirmation; `Duration::max()` if there was
/// none.
[[nodiscard]] Duration Age(const KindMirror& mirror, Instant now);

/// @brief The changes after `revision` of `era`, or a full list if the recorded
/// changes do not reach back that far or `era` is another one.
[[nodiscard]] KindChanges ChangesSince(const KindMirror& mirror,
                                       int64_t era,
                                       int64_t revision);

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_KIND_MIRROR_H_
