#include "gateway/unusable_objects.h"

#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

// Limit of the objects on the status page.
constexpr size_t kMaxListed = 100;
// Longest part of a name or reason that is logged and listed. Both contain text
// of other writers.
constexpr size_t kMaxTextBytes = 200;

std::string Shorten(const std::string& text) {
  return text.size() <= kMaxTextBytes ? text
                                      : text.substr(0, kMaxTextBytes) + "...";
}

}  // namespace

void UnusableObjects::StartChanges(const std::string& kind,
                                   const mirror::KindChanges& changes) {
  const auto retract = [this](std::map<Key, std::string>::iterator it) {
    previous_.insert(reasons_.extract(it));
  };
  if (changes.is_full_list_) {
    for (auto it = reasons_.begin(); it != reasons_.end();) {
      const auto current = it++;
      if (current->first.first == kind) {
        retract(current);
      }
    }
  }
  const auto retract_name = [&](const std::string& name) {
    const auto found = reasons_.find({kind, name});
    if (found != reasons_.end()) {
      retract(found);
    }
  };
  for (const mirror::StoredObject& object : changes.upserted_) {
    retract_name(object.name_);
  }
  for (const std::string& name : changes.removed_) {
    retract_name(name);
  }
}

void UnusableObjects::Add(const std::string& kind,
                          const std::string& name,
                          const Error& error,
                          Instant now) {
  const Key key{kind, name};
  const std::string reason = Shorten(Format(error));
  const auto known = previous_.find(key);
  if (known == previous_.end() || known->second != reason) {
    static RateLimitedLogger lines;
    metrics_.unusable_found_.Increment();
    lines.Log(now, LogLevel::kWarning, "store", "object is not usable",
              {{"kind", kind}, {"name", Shorten(name)}, {"error", reason}});
  }
  previous_.erase(key);
  reasons_[key] = reason;
}

void UnusableObjects::FinishChanges(Instant now) {
  static RateLimitedLogger lines;
  for (const auto& [key, reason] : previous_) {
    lines.Log(now, LogLevel::kInfo, "store", "object is usable again or gone",
              {{"kind", key.first}, {"name", Shorten(key.second)}});
  }
  previous_.clear();
  metrics_.unusable_.Set(static_cast<int64_t>(reasons_.size()));
}

std::vector<traffic::UnusableObject> UnusableObjects::List() const {
  std::vector<traffic::UnusableObject> listed;
  for (const auto& [key, reason] : reasons_) {
    if (listed.size() == kMaxListed) {
      break;
    }
    listed.push_back({key.first, Shorten(key.second), reason});
  }
  return listed;
}

}  // namespace clementinerill::gateway
