#include "traffic/departures.h"

#include <algorithm>

namespace clementinerill::traffic {
namespace {

void DropOldest(Departures& departures) {
  auto& known = departures.by_replica_;
  known.erase(std::min_element(
      known.begin(), known.end(), [](const auto& a, const auto& b) {
        return a.second.reported_at_ < b.second.reported_at_;
      }));
}

}  // namespace

bool RecordDeparture(Departures& departures,
                     const ReplicaEntry& entry,
                     Instant now) {
  if (FindDeparture(departures, entry)) {
    return false;
  }
  auto& known = departures.by_replica_;
  if (known.size() >= kMaxDepartures && known.count(entry.id_) == 0) {
    DropOldest(departures);
  }
  known[entry.id_] = {entry.started_unix_ms_, now};
  return true;
}

std::optional<Instant> FindDeparture(const Departures& departures,
                                     const ReplicaEntry& entry) {
  const auto found = departures.by_replica_.find(entry.id_);
  if (found == departures.by_replica_.end() ||
      found->second.started_unix_ms_ != entry.started_unix_ms_) {
    return std::nullopt;
  }
  return found->second.reported_at_;
}

}  // namespace clementinerill::traffic
