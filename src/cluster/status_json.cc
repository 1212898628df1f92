#include "cluster/status_json.h"

#include <nlohmann/json.hpp>

#include "membership/liveness.h"

namespace clementinerill {
namespace {

using nlohmann::json;

json ConfigurationJson(const ConfigurationStatus& status) {
  json document = {
      {"version", status.version_},
      {"change_id", status.change_id_},
      {"phase", NameOf(kConfigurationPhaseNames, status.phase_)},
      {"source", NameOf(kConfigurationSourceNames, status.source_)},
      {"store", NameOf(kStoreHealthNames, status.store_)},
      {"newest_known_version", status.newest_known_version_},
      {"problems", status.problems_}};
  if (status.outage_) {
    document["store_outage_ms"] = ToMilliseconds(*status.outage_);
  }
  return document;
}

// Number of live members, including this daemon, on the version or a newer one.
int CountInForce(const GroupState& group, uint64_t version) noexcept {
  int count = 1;
  for (size_t i = 0; i < group.peers_.size(); ++i) {
    const bool other = static_cast<int>(i) != group.self_;
    const PeerRecord& peer = group.peers_[i];
    count += other && peer.live_ && peer.config_version_ >= version ? 1 : 0;
  }
  return count;
}

json MembersJson(const GroupState& group, Instant now) {
  json members = json::array();
  for (size_t i = 0; i < group.peers_.size(); ++i) {
    const PeerRecord& peer = group.peers_[i];
    const bool self = static_cast<int>(i) == group.self_;
    members.push_back(
        {{"name", group.group_.members_[i]},
         {"live", self || peer.live_},
         {"heard", self || HeardRecently(group, static_cast<int>(i), now)},
         {"leaving", peer.leaving_},
         {"configuration", peer.config_version_}});
  }
  return members;
}

json SeatsJson(const GroupState& group, Instant now) {
  json seats = json::array();
  for (const SeatRecord& seat : group.seats_) {
    const std::string holder =
        seat.holder_ == kNoMember
            ? std::string()
            : group.group_.members_[static_cast<size_t>(seat.holder_)];
    seats.push_back(
        {{"pool", group.group_.pools_[static_cast<size_t>(seat.pool_)].name_},
         {"seat", seat.seat_},
         {"holder", holder},
         {"phase", NameOf(kSeatPhaseNames, PhaseOf(seat.permit_, now))}});
  }
  return seats;
}

json AdvisoriesJson(const AdvisoryMap& advisories) {
  json active = json::array();
  for (const auto& [key, advisory] : advisories.entries_) {
    if (advisory.active_) {
      active.push_back({{"kind", NameOf(kAdvisoryKindNames, advisory.kind_)},
                        {"subject", advisory.subject_},
                        {"generation", advisory.generation_},
                        {"origin", advisory.origin_}});
    }
  }
  return active;
}

}  // namespace

std::string StatusJson(const std::string& daemon,
                       const ConfigurationStatus& configuration,
                       const std::vector<GroupState>& groups,
                       const AdvisoryMap& advisories,
                       Instant now) {
  json document = {{"daemon", daemon},
                   {"configuration", ConfigurationJson(configuration)},
                   {"advisories", AdvisoriesJson(advisories)},
                   {"groups", json::array()}};
  for (const GroupState& group : groups) {
    document["groups"].push_back(
        {{"name", group.group_.name_},
         {"majority", HasMajority(group, now)},
         {"in_force", CountInForce(group, configuration.version_)},
         {"members", MembersJson(group, now)},
         {"seats", SeatsJson(group, now)}});
  }
  return document.dump();
}

}  // namespace clementinerill
