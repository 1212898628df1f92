#include "peer/link_table.h"

#include <algorithm>
#include <utility>

namespace clementinerill {

bool LinkTable::Add(const std::string& name, std::shared_ptr<PeerLink> link) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& links = links_[name];
  links.push_back(std::move(link));
  return links.size() == 1;
}

bool LinkTable::Remove(const std::string& name, const PeerLink* link) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = links_.find(name);
  if (it == links_.end()) {
    return false;
  }
  auto& links = it->second;
  links.erase(
      std::remove_if(links.begin(), links.end(),
                     [link](const auto& entry) { return entry.get() == link; }),
      links.end());
  if (!links.empty()) {
    return false;
  }
  links_.erase(it);
  return true;
}

void LinkTable::Demote(const std::string& name, const PeerLink* link) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = links_.find(name);
  if (it != links_.end() && it->second.front().get() == link) {
    auto& links = it->second;
    std::rotate(links.begin(), links.begin() + 1, links.end());
  }
}

void LinkTable::Clear() {
  const std::lock_guard<std::mutex> lock(mutex_);
  links_.clear();
}

std::shared_ptr<PeerLink> LinkTable::Find(const std::string& name) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = links_.find(name);
  return it == links_.end() ? nullptr : it->second.front();
}

std::vector<std::shared_ptr<PeerLink>> LinkTable::FindAll(
    const std::string& name) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = links_.find(name);
  return it == links_.end() ? std::vector<std::shared_ptr<PeerLink>>{}
                            : it->second;
}

std::vector<std::string> LinkTable::Names() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> names;
  names.reserve(links_.size());
  for (const auto& [name, links] : links_) {
    names.push_back(name);
  }
  return names;
}

}  // namespace clementinerill
