#include "mirror/kind_mirror.h"

#include <algorithm>
#include <set>

namespace clementinerill::mirror {
namespace {

// Number of changes kept for readers that lag behind: enough for a restart of a
// third of a fleet of 6,000 replicas. Readers further behind get a full list.
constexpr size_t kMaxChanges = 2000;

void RecordChange(KindMirror& mirror,
                  int64_t revision,
                  const std::string& name) {
  mirror.changes_.push_back({revision, name});
  if (mirror.changes_.size() > kMaxChanges) {
    mirror.changes_start_ = mirror.changes_.front().revision_;
    mirror.changes_.pop_front();
  }
}

void ApplyFullList(KindMirror& mirror, const KindChanges& changes) {
  mirror.objects_.clear();
  for (const StoredObject& object : changes.upserted_) {
    mirror.objects_[object.name_] = object;
  }
  mirror.changes_.clear();
  mirror.changes_start_ = changes.revision_;
}

KindChanges FullList(const KindMirror& mirror) {
  KindChanges changes;
  changes.era_ = mirror.era_;
  changes.revision_ = mirror.revision_;
  changes.is_full_list_ = true;
  for (const auto& [name, object] : mirror.objects_) {
    changes.upserted_.push_back(object);
  }
  return changes;
}

bool IsNewer(const KindMirror& mirror, const KindChanges& changes) {
  if (IsOtherEra(mirror, changes.era_)) {
    return changes.era_ > mirror.era_ && changes.is_full_list_;
  }
  if (mirror.is_doubtful_) {
    return changes.is_full_list_ && changes.revision_ >= mirror.revision_;
  }
  return mirror.revision_ == 0 || changes.revision_ > mirror.revision_;
}

}  // namespace

bool IsOtherEra(const KindMirror& mirror, int64_t era) noexcept {
  return mirror.revision_ > 0 && era != mirror.era_;
}

void Doubt(KindMirror& mirror) noexcept {
  mirror.is_doubtful_ = true;
  mirror.proven_at_.reset();
  mirror.proven_revision_ = 0;
}

int64_t KnownRevision(const KindMirror& mirror) noexcept {
  return mirror.is_doubtful_ ? 0 : mirror.revision_;
}

bool StaysDoubtful(const KindMirror& mirror,
                   const KindChanges& changes) noexcept {
  return mirror.is_doubtful_ && !IsNewer(mirror, changes);
}

bool Apply(KindMirror& mirror, const KindChanges& changes) {
  if (!IsNewer(mirror, changes)) {
    return false;
  }
  if (changes.is_full_list_) {
    ApplyFullList(mirror, changes);
  } else {
    for (const StoredObject& object : changes.upserted_) {
      mirror.objects_[object.name_] = object;
      RecordChange(mirror, changes.revision_, object.name_);
    }
    for (const std::string& name : changes.removed_) {
      mirror.objects_.erase(name);
      RecordChange(mirror, changes.revision_, name);
    }
  }
  if (changes.era_ != mirror.era_) {
    mirror.proven_at_.reset();
    mirror.proven_revision_ = 0;
  }
  mirror.era_ = changes.era_;
  mirror.revision_ = changes.revision_;
  mirror.is_doubtful_ = false;
  return true;
}

void Confirm(KindMirror& mirror, Instant when) {
  if (!mirror.confirmed_at_ || *mirror.confirmed_at_ < when) {
    mirror.confirmed_at_ = when;
  }
}

Duration Age(const KindMirror& mirror, Instant now) {
  return mirror.confirmed_at_
             ? std::max(now - *mirror.confirmed_at_, Duration::zero())
             : Duration::max();
}

KindChanges ChangesSince(const KindMirror& mirror,
                         int64_t era,
                         int64_t revision) {
  if (era != mirror.era_ || revision <= 0 || revision < mirror.changes_start_) {
    return FullList(mirror);
  }
  KindChanges changes;
  changes.era_ = mirror.era_;
  changes.revision_ = mirror.revision_;
  std::set<std::string> names;
  for (const KindMirror::Change& change : mirror.changes_) {
    if (change.revision_ > revision) {
      names.insert(change.name_);
    }
  }
  for (const std::string& name : names) {
    const auto found = mirror.objects_.find(name);
    if (found == mirror.objects_.end()) {
      changes.removed_.push_back(name);
    } else {
      changes.upserted_.push_back(found->second);
    }
  }
  return changes;
}

}  // namespace clementinerill::mirror
