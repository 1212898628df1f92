#include "traffic/replica_directory.h"

#include <set>
#include <utility>

namespace clementinerill::traffic {

void UpsertReplica(ReplicaDirectory& directory, ReplicaEntry entry) {
  entry.has_announced_leaving_ = entry.leaving_since_.has_value();
  const auto known = directory.replicas_.find(entry.id_);
  if (known == directory.replicas_.end()) {
    directory.replicas_.emplace(entry.id_, std::move(entry));
    return;
  }
  const ReplicaEntry& before = known->second;
  if (IsSameProcess(entry, before) && before.leaving_since_ &&
      (entry.leaving_since_ || before.has_announced_leaving_)) {
    entry.leaving_since_ = before.leaving_since_;
    entry.has_announced_leaving_ = true;
  }
  known->second = std::move(entry);
}

void MarkReplicaUnlisted(ReplicaDirectory& directory,
                         const std::string& id,
                         Instant now) {
  const auto known = directory.replicas_.find(id);
  if (known == directory.replicas_.end()) {
    return;
  }
  known->second.is_listed_ = false;
  if (!known->second.leaving_since_) {
    known->second.leaving_since_ = now;
  }
}

void ReplaceReplicas(ReplicaDirectory& directory,
                     std::vector<ReplicaEntry> entries,
                     Instant now) {
  std::set<std::string> listed;
  for (ReplicaEntry& entry : entries) {
    listed.insert(entry.id_);
    UpsertReplica(directory, std::move(entry));
  }
  for (const auto& [id, entry] : directory.replicas_) {
    if (listed.count(id) == 0) {
      MarkReplicaUnlisted(directory, id, now);
    }
  }
}

bool EvictDepartedReplicas(ReplicaDirectory& directory,
                           Duration grace,
                           Instant now) {
  bool changed = false;
  auto& replicas = directory.replicas_;
  for (auto it = replicas.begin(); it != replicas.end();) {
    const auto& leaving = it->second.leaving_since_;
    const bool is_over = leaving && now - *leaving >= grace;
    // Listed replicas stay, so that the time of their first announcement is
    // kept.
    if (is_over && !it->second.is_listed_) {
      it = replicas.erase(it);
      changed = true;
    } else {
      ++it;
    }
  }
  return changed;
}

}  // namespace clementinerill::traffic
