#include "sweep/key_range.h"

#include "base/parse_number.h"

namespace clementinerill {

bool IsValid(const KeyRange& range) noexcept {
  return range.begin_ < range.end_ && range.end_ <= kKeySpaceEnd;
}

std::string Format(const KeyRange& range) {
  return std::to_string(range.begin_) + "-" + std::to_string(range.end_);
}

std::optional<KeyRange> ParseKeyRange(std::string_view text) noexcept {
  const size_t dash = text.find('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto begin = ParseNumber(text.substr(0, dash));
  const auto end = ParseNumber(text.substr(dash + 1));
  if (!begin || !end) {
    return std::nullopt;
  }
  const KeyRange range{*begin, *end};
  return IsValid(range) ? std::optional<KeyRange>(range) : std::nullopt;
}

}  // namespace clementinerill
