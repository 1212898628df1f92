#include "daemon/status_page.h"

#include <cstdint>
#include <utility>

#include <nlohmann/json.hpp>

namespace clementinerill {
namespace {

using nlohmann::json;

constexpr int kIndent = 2;

int64_t Microseconds(Duration duration) noexcept {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

json OffersOf(const UpstreamStatus& upstream) {
  if (!upstream.offers_) {
    return nullptr;
  }
  json offers = json::array();
  for (const Snapshot& snapshot : *upstream.offers_) {
    offers.push_back({{"index_version", snapshot.index_version_},
                      {"partition_map", snapshot.partition_map_}});
  }
  return offers;
}

json ToJson(const UpstreamStatus& upstream) {
  json object = {{"name", upstream.name_},
                 {"service", upstream.service_},
                 {"open", upstream.open_},
                 {"in_use", upstream.in_use_},
                 {"slots", upstream.slots_},
                 {"connections", upstream.connections_},
                 {"latency_us", Microseconds(upstream.latency_)},
                 {"failures_in_a_row", upstream.failures_},
                 {"skipped_for_us", Microseconds(upstream.skipped_for_)},
                 {"cold_limit", nullptr},
                 {"offers", OffersOf(upstream)}};
  if (upstream.cold_limit_) {
    object["cold_limit"] = *upstream.cold_limit_;
  }
  return object;
}

json PoolsOf(const StatusInput& input) {
  json pools = json::array();
  for (const auto& [name, pool] : input.table_->pools_) {
    json seats_held = json::array();
    for (const UsableSeat& seat : input.seats_.at(name).own_) {
      seats_held.push_back(seat.seat_);
    }
    json upstreams = json::array();
    for (const UpstreamStatus& upstream : input.upstreams_) {
      if (upstream.pool_ == name) {
        upstreams.push_back(ToJson(upstream));
      }
    }
    pools.push_back({{"name", name},
                     {"seats", pool.pool_.seats_},
                     {"seats_held", std::move(seats_held)},
                     {"upstreams", std::move(upstreams)}});
  }
  return pools;
}

}  // namespace

std::string StatusJson(const StatusInput& input) {
  json status = {{"name", input.options_.name_},
                 {"failure_domain", input.options_.failure_domain_},
                 {"ready", input.not_ready_.empty()},
                 {"reason", input.not_ready_},
                 {"configuration_version", nullptr},
                 {"pools", json::array()},
                 {"control", json::parse(input.control_, nullptr, false)}};
  if (input.table_ != nullptr) {
    status["configuration_version"] = input.table_->configuration_version_;
    status["pools"] = PoolsOf(input);
  }
  return status.dump(kIndent, ' ', /*ensure_ascii=*/false,
                     json::error_handler_t::replace);
}

}  // namespace clementinerill
