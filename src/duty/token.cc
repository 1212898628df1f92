#include "duty/token.h"

#include <algorithm>

namespace clementinerill::duty {
namespace {

constexpr int64_t kCounters = int64_t{1} << 32;
// JSON numbers are exact up to here.
constexpr int64_t kMaxTokens = int64_t{1} << 53;

}  // namespace

int64_t EraOfToken(int64_t token) noexcept {
  return token / kCounters;
}

std::optional<int64_t> NextToken(int64_t previous,
                                 int64_t era,
                                 int64_t revision) noexcept {
  const bool is_first = previous <= 0 || EraOfToken(previous) < era;
  const int64_t counter =
      is_first ? std::max<int64_t>(revision, 1) : previous % kCounters + 1;
  const bool is_usable = era >= 0 && era < kMaxTokens / kCounters &&
                         counter < kCounters && EraOfToken(previous) <= era;
  if (!is_usable) {
    return std::nullopt;
  }
  return era * kCounters + counter;
}

}  // namespace clementinerill::duty
