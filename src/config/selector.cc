#include "config/selector.h"

#include <algorithm>

namespace clementinerill {

bool Matches(const Selector& selector, const Labels& labels) noexcept {
  return std::all_of(
      selector.required_labels_.begin(), selector.required_labels_.end(),
      [&labels](const auto& required) {
        const auto found = labels.find(required.first);
        return found != labels.end() && found->second == required.second;
      });
}

}  // namespace clementinerill
