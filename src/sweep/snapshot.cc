#include "sweep/snapshot.h"

#include <algorithm>

#include "base/parse_number.h"

namespace clementinerill {
namespace {

std::optional<Snapshot> ParseSnapshot(std::string_view text) noexcept {
  const size_t at = text.find('@');
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const auto index_version = ParseNumber(text.substr(0, at));
  const auto partition_map = ParseNumber(text.substr(at + 1));
  if (!index_version || !partition_map) {
    return std::nullopt;
  }
  return Snapshot{*index_version, *partition_map};
}

bool IsOfferedByAll(const std::vector<std::vector<Snapshot>>& offers,
                    const Snapshot& snapshot) noexcept {
  return std::all_of(offers.begin(), offers.end(),
                     [&snapshot](const std::vector<Snapshot>& service) {
                       return std::find(service.begin(), service.end(),
                                        snapshot) != service.end();
                     });
}

}  // namespace

std::string Format(const Snapshot& snapshot) {
  return std::to_string(snapshot.index_version_) + "@" +
         std::to_string(snapshot.partition_map_);
}

std::string FormatOffers(const std::vector<Snapshot>& offers) {
  std::string text;
  for (const Snapshot& snapshot : offers) {
    text += text.empty() ? "" : ",";
    text += Format(snapshot);
  }
  return text;
}

std::optional<std::vector<Snapshot>> ParseOffers(std::string_view text) {
  std::vector<Snapshot> offers;
  while (!text.empty()) {
    const size_t comma = std::min(text.find(','), text.size());
    const auto snapshot = ParseSnapshot(text.substr(0, comma));
    if (!snapshot) {
      return std::nullopt;
    }
    offers.push_back(*snapshot);
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return offers;
}

std::optional<Snapshot> NewestCommonSnapshot(
    const std::vector<std::vector<Snapshot>>& offers) {
  std::optional<Snapshot> newest;
  if (offers.empty()) {
    return newest;
  }
  for (const Snapshot& candidate : offers.front()) {
    const bool newer = !newest || *newest < candidate;
    if (newer && IsOfferedByAll(offers, candidate)) {
      newest = candidate;
    }
  }
  return newest;
}

}  // namespace clementinerill
