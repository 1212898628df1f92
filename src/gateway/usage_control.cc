#include "gateway/usage_control.h"

#include <algorithm>

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

// Period at which the time is compared, windows are fixed and calls are made.
// More wake-ups would cost more processor time than the requests of a quiet day
// on small VMs.
constexpr Duration kTickPeriod = milliseconds(250);
// After the longest request of a window has ended, the time for passing its
// count from the traffic thread.
constexpr milliseconds kPassTime{300};

milliseconds KeptFor(const usage::ReportSettings& settings) {
  return usage::MaxReportAge(settings) + 2 * settings.window_length_;
}

}  // namespace

UsageControl::UsageControl(http::EventLoop& loop,
                           const GatewayOptions& options,
                           GatewayMetrics& metrics)
    : loop_(loop),
      max_settle_(usage::CloseDelay(options.usage_->reports_) / 2),
      exchange_(loop,
                options.name_,
                options.usage_->reports_.window_length_,
                KeptFor(options.usage_->reports_)),
      reporter_(loop, options.name_, *options.usage_, exchange_, metrics) {
  exchange_.SetSettleTime(kPassTime);
}

void UsageControl::Start() {
  Tick();
  loop_.Timers().AddPeriodic(kTickPeriod, [this] { Tick(); });
}

void UsageControl::SetConfiguration(
    const traffic::TrafficConfiguration& configuration) {
  Duration longest = Duration::zero();
  for (const auto& [host, routes] : configuration.routes_) {
    for (const traffic::RouteRule& route : routes) {
      longest = std::max(longest, route.timeout_);
    }
  }
  // A later mark would come when the window is fixed already.
  exchange_.SetSettleTime(
      std::min(std::chrono::duration_cast<milliseconds>(longest) + kPassTime,
               max_settle_));
}

void UsageControl::SetDaemons(
    const std::map<std::string, mirror::DaemonRecord>& daemons,
    const std::vector<mirror::DaemonRecord>& other_watchers,
    bool is_watcher) {
  std::vector<std::string> names;
  names.reserve(daemons.size());
  for (const auto& [name, record] : daemons) {
    names.push_back(name);
  }
  reporter_.SetDaemons(std::move(names));
  exchange_.SetPeers(other_watchers);
  is_watcher_ = is_watcher;
}

void UsageControl::Tick() {
  exchange_.SetRole({is_watcher_, reporter_.NeedsCounts()});
  exchange_.Tick();
  reporter_.Tick();
  if (const auto status = reporter_.Status();
      publish_ && !(status == published_)) {
    published_ = status;
    publish_(status);
  }
}

}  // namespace clementinerill::gateway
