#include "membership/next_members.h"

#include <algorithm>
#include <iterator>

namespace clementinerill {
namespace {

using Names = std::vector<std::string>;

void SortUnique(Names& names) {
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
}

// Returns the names of `left` that are not in `right`; both must be sorted.
Names Difference(const Names& left, const Names& right) {
  Names result;
  std::set_difference(left.begin(), left.end(), right.begin(), right.end(),
                      std::back_inserter(result));
  return result;
}

}  // namespace

Names NextMembers(Names current, Names wanted) {
  SortUnique(current);
  SortUnique(wanted);
  const Names removed = Difference(current, wanted);
  if (!removed.empty() && current.size() > 1 &&
      current.size() >= wanted.size()) {
    return Difference(current, {removed.front()});
  }
  const Names added = Difference(wanted, current);
  if (!added.empty()) {
    current.push_back(added.front());
    SortUnique(current);
  }
  return current;
}

}  // namespace clementinerill
