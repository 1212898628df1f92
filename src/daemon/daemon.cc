#include "daemon/daemon.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "config/configuration_json.h"
#include "daemon/fetch_configuration.h"
#include "daemon/static_seats.h"
#include "routing/build_routing_table.h"

namespace clementinerill {
namespace {

constexpr auto kControlInterval = std::chrono::milliseconds(20);
constexpr int kTicksPerConfigurationPoll = 25;
constexpr int kTicksPerCancelRetry = 10;

Instant Now() noexcept {
  return std::chrono::steady_clock::now();
}

// Slots of the service that has the fewest: the number of sweeps that the pool
// can run at once.
int FewestSlots(const RoutingPool& pool) noexcept {
  int fewest = std::numeric_limits<int>::max();
  for (const RoutingService& service : pool.services_) {
    int slots = 0;
    for (const RoutingTarget& target : service.targets_) {
      slots += target.open_ ? target.slots_ : 0;
    }
    fewest = std::min(fewest, slots);
  }
  return pool.services_.empty() ? 0 : fewest;
}

}  // namespace

Daemon::Daemon(DaemonOptions options)
    : options_(std::move(options)),
      exchange_pool_(options_.exchange_threads_),
      control_pool_(options_.control_threads_),
      runner_(dispatcher_, exchange_pool_, control_pool_),
      caller_server_(
          options_.caller_,
          {[this](const QueryInput& input, const std::function<bool()>& gone) {
             return Serve(input, gone);
           },
           [this] { return dispatcher_.Table() != nullptr && !draining_; }}),
      admin_server_(
          options_.admin_address_,
          options_.admin_port_,
          [this](const AdminRequest& request) { return ServeAdmin(request); }) {
}

Daemon::~Daemon() {
  Stop();
}

Result<uint16_t> Daemon::Start() {
  control_thread_ = std::thread([this] { RunControl(); });
  auto admin_port = admin_server_.Start();
  if (!admin_port) {
    return admin_port;
  }
  admin_port_ = *admin_port;
  return caller_server_.Start();
}

void Daemon::Stop() {
  if (stopping_) {
    return;
  }
  draining_ = true;
  std::this_thread::sleep_for(options_.balancer_delay_);
  caller_server_.Stop();
  admin_server_.Stop();
  stopping_ = true;
  if (control_thread_.joinable()) {
    control_thread_.join();
  }
  exchange_pool_.Stop();
  control_pool_.Stop();
}

QueryAnswer Daemon::Serve(const QueryInput& input,
                          const std::function<bool()>& caller_gone) {
  const Instant started = Now();
  QueryAnswer answer = Answer(input, caller_gone);
  metrics_.outcomes_.Increment(answer.outcome_);
  if (answer.outcome_ != Outcome::kComplete) {
    metrics_.reasons_.Increment(answer.reason_);
  }
  metrics_.query_latency_.Record(Now() - started);
  return answer;
}

QueryAnswer Daemon::Answer(const QueryInput& input,
                           const std::function<bool()>& caller_gone) {
  const std::string generated_id = NextRequestId();
  const auto table = dispatcher_.Table();
  if (!table) {
    return RefusedAnswer(generated_id, Reason::kNoConfiguration);
  }
  const auto request = ParseQuery(input, *table, generated_id, Now());
  if (!request) {
    return request.error();
  }
  const QueryContext context{dispatcher_, runner_, admission_, metrics_};
  return RunQuery(context, *request, caller_gone);
}

AdminReply Daemon::ServeAdmin(const AdminRequest& request) {
  constexpr int kNotFound = 404;
  if (request.path_ == "/metrics") {
    return {200, "text/plain; version=0.0.4",
            metrics_.registry_.PrometheusText()};
  }
  return {kNotFound, "application/json", R"({"error": "unknown path"})"};
}

std::string Daemon::NextRequestId() {
  return options_.name_ + "-" + std::to_string(++last_request_);
}

void Daemon::RunControl() {
  for (int tick = 0; !stopping_; ++tick) {
    if (tick % kTicksPerConfigurationPoll == 0) {
      PollConfiguration();
    }
    dispatcher_.Maintain();
    MaintainConnections();
    if (tick % kTicksPerCancelRetry == 0) {
      runner_.RetryCancellations();
    }
    std::this_thread::sleep_for(kControlInterval);
  }
}

void Daemon::MaintainConnections() {
  for (const auto& state : dispatcher_.Upstreams()) {
    const int silent = state->pool_.CondemnSilent(Now());
    metrics_.silent_connections_.Increment(static_cast<uint64_t>(silent));
    const int missing = state->pool_.CountToOpen();
    for (int i = 0; i < missing; ++i) {
      control_pool_.Post([this, state] {
        const auto signals = state->pool_.OpenAhead();
        if (signals) {
          dispatcher_.ObserveSignals(*state, *signals, Now());
        }
      });
    }
  }
}

void Daemon::PollConfiguration() {
  const auto text =
      FetchConfiguration(options_.platform_address_, options_.platform_port_);
  if (!text) {
    return;
  }
  const auto configuration = ParseConfiguration(*text);
  if (!configuration || configuration->version_ <= configuration_version_) {
    return;
  }
  configuration_version_ = configuration->version_;
  RoutingRestrictions restrictions;
  restrictions.seats_ =
      StaticSeats(*configuration, options_.members_, options_.name_);
  const auto table = std::make_shared<const RoutingTable>(
      BuildRoutingTable(*configuration, restrictions));
  dispatcher_.Apply(table, Now());
  for (const auto& [name, pool] : table->pools_) {
    admission_.Of(name)->SetCapacity(FewestSlots(pool));
  }
}

}  // namespace clementinerill
