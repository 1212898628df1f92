#include "control/fleet_status.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "base/rendezvous.h"

namespace clementinerill {
namespace {

using nlohmann::json;

VersionReport ReadReport(const json& row) {
  VersionReport report;
  report.daemon_ = row.at("daemon").get<std::string>();
  report.version_ = row.at("version").get<uint64_t>();
  report.invalid_version_ = row.value("invalid_version", uint64_t{0});
  report.invalid_reason_ = row.value("invalid_reason", "");
  return report;
}

}  // namespace

bool WritesFleetStatus(const std::string& daemon,
                       std::vector<std::string> live_members) {
  live_members.push_back(daemon);
  return RankByRendezvous("fleet-status", std::move(live_members)).front() ==
         daemon;
}

std::string ToJsonText(const FleetStatus& status,
                       const std::string& change_id) {
  json daemons = json::array();
  for (const VersionReport& report : status.reports_) {
    daemons.push_back({{"daemon", report.daemon_},
                       {"version", report.version_},
                       {"invalid_version", report.invalid_version_},
                       {"invalid_reason", report.invalid_reason_}});
  }
  json rolled_back = json::array();
  for (const RolledBackChange& change : status.rolled_back_) {
    rolled_back.push_back(
        {{"version", change.version_}, {"reason", change.reason_}});
  }
  const json document = {{"change_id", change_id},
                         {"daemons", std::move(daemons)},
                         {"rolled_back", std::move(rolled_back)}};
  return document.dump();
}

Result<FleetStatus> ParseFleetStatus(const std::string& text) {
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  FleetStatus status;
  try {
    for (const json& row : document.at("daemons")) {
      status.reports_.push_back(ReadReport(row));
    }
    for (const json& row : document.at("rolled_back")) {
      status.rolled_back_.push_back({row.at("version").get<uint64_t>(),
                                     row.at("reason").get<std::string>()});
    }
  } catch (const json::exception& error) {
    return Fail(std::string("the fleet status is malformed: ") + error.what());
  }
  return status;
}

}  // namespace clementinerill
