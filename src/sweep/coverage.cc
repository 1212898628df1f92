#include "sweep/coverage.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace clementinerill {

void Coverage::Add(const KeyRange& range) {
  if (!IsValid(range)) {
    return;
  }
  uint64_t begin = range.begin_;
  uint64_t end = range.end_;
  auto next = end_by_begin_.upper_bound(begin);
  if (next != end_by_begin_.begin()) {
    const auto previous = std::prev(next);
    if (previous->second >= begin) {
      begin = previous->first;
      end = std::max(end, previous->second);
      next = end_by_begin_.erase(previous);
    }
  }
  while (next != end_by_begin_.end() && next->first <= end) {
    end = std::max(end, next->second);
    next = end_by_begin_.erase(next);
  }
  end_by_begin_[begin] = end;
}

uint64_t Coverage::CoveredKeys() const noexcept {
  uint64_t keys = 0;
  for (const auto& [begin, end] : end_by_begin_) {
    keys += end - begin;
  }
  return keys;
}

bool Coverage::IsFull() const noexcept {
  return CoveredKeys() == kKeySpaceEnd;
}

double Coverage::Fraction() const noexcept {
  constexpr double kSteps = 1e6;
  const double exact =
      static_cast<double>(CoveredKeys()) / static_cast<double>(kKeySpaceEnd);
  return std::floor(exact * kSteps) / kSteps;
}

std::vector<KeyRange> Coverage::Missing() const {
  std::vector<KeyRange> missing;
  uint64_t position = 0;
  for (const auto& [begin, end] : end_by_begin_) {
    if (begin > position) {
      missing.push_back(KeyRange{position, begin});
    }
    position = end;
  }
  if (position < kKeySpaceEnd) {
    missing.push_back(KeyRange{position, kKeySpaceEnd});
  }
  return missing;
}

}  // namespace clementinerill
