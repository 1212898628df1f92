#include "gateway/evacuation_control.h"

#include "base/result.h"
#include "gateway/unusable_objects.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

// Time within which the operator has repeated what the store lost when it
// returned from an older copy. Entries of replicas are back within 2 s.
constexpr Duration kRepetitionTime = std::chrono::seconds(5);

void LogEnd(const std::string& failure_domain) {
  Log(LogLevel::kInfo, "evacuation", "ended",
      {{"failure_domain", failure_domain}});
}

}  // namespace

void EvacuationControl::ApplyChanges(const std::string& kind,
                                     const mirror::KindChanges& changes,
                                     UnusableObjects& unusable,
                                     Instant now) {
  if (changes.is_full_list_) {
    if (changes.era_ > era_ && era_ > 0) {
      MarkLost(now);
    }
    ordered_.clear();
    era_ = changes.era_;
  }
  for (const mirror::StoredObject& object : changes.upserted_) {
    if (object.name_.empty()) {
      unusable.Add(kind, object.name_, MakeError("the name is missing"), now);
      continue;
    }
    // The name alone is the order; the content is not read.
    Log(LogLevel::kInfo, "evacuation", "ordered",
        {{"failure_domain", object.name_}});
    ordered_.insert(object.name_);
    lost_until_.erase(object.name_);
  }
  for (const std::string& name : changes.removed_) {
    LogEnd(name);
    ordered_.erase(name);
  }
}

void EvacuationControl::MarkLost(Instant now) {
  for (const std::string& name : ordered_) {
    Log(LogLevel::kWarning, "evacuation", "missing in a new era, kept for now",
        {{"failure_domain", name}});
    lost_until_[name] = now + kRepetitionTime;
  }
}

bool EvacuationControl::EndLost(Instant now) {
  bool changed = false;
  for (auto it = lost_until_.begin(); it != lost_until_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    LogEnd(it->first);
    it = lost_until_.erase(it);
    changed = true;
  }
  return changed;
}

std::set<std::string> EvacuationControl::FailureDomains() const {
  std::set<std::string> all = ordered_;
  for (const auto& [name, until] : lost_until_) {
    all.insert(name);
  }
  return all;
}

}  // namespace clementinerill::gateway
