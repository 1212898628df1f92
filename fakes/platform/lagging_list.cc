#include "fakes/platform/lagging_list.h"

namespace clementinerill {

void LaggingList::Set(std::string text, Instant now) {
  constexpr size_t kMaxTexts = 1000;
  const std::lock_guard lock(mutex_);
  texts_.emplace_back(now, std::move(text));
  if (texts_.size() > kMaxTexts) {
    texts_.pop_front();
  }
}

void LaggingList::SetLag(std::chrono::milliseconds lag) {
  const std::lock_guard lock(mutex_);
  lag_ = lag;
}

std::string LaggingList::Get(Instant now) const {
  const std::lock_guard lock(mutex_);
  for (auto text = texts_.rbegin(); text != texts_.rend(); ++text) {
    if (text->first + lag_ <= now) {
      return text->second;
    }
  }
  return "[]";
}

}  // namespace clementinerill
