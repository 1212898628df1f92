#include "membership/next_members.h"

#include <algorithm>
#include <iterator>

namespace clementinerill {
namespace {

using Names = std::vector<std::string>;

void Normalize(Names& names) {
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
}

// Names of `left` that are not in `right`; both are sorted.
Names Without(const Names& left, const Names& right) {
  Names result;
  std::set_difference(left.begin(), left.end(), right.begin(), right.end(),
                      std::back_inserter(result));
  return result;
}

}  // namespace

Names NextMembers(Names current, Names wanted) {
  Normalize(current);
  Normalize(wanted);
  const Names removed = Without(current, wanted);
  if (!removed.empty() && current.size() > 1 &&
      current.size() >= wanted.size()) {
    return Without(current, {removed.front()});
  }
  const Names added = Without(wanted, current);
  if (!added.empty()) {
    current.push_back(added.front());
    Normalize(current);
  }
  return current;
}

}  // namespace clementinerill
