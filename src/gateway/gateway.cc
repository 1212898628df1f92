#include "gateway/gateway.h"

#include <csignal>

#include <functional>
#include <thread>
#include <utility>

#include <boost/asio/signal_set.hpp>

#include "gateway/control_loop.h"
#include "gateway/gateway_metrics.h"
#include "gateway/traffic_server.h"
#include "http/event_loop.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

// Period of the check for changed settings. The platform may change them
// without sending a signal.
constexpr Duration kSettingsPollPeriod = std::chrono::seconds(2);

/// Reloads the settings on SIGHUP and when polling finds their text changed.
///
/// Limits and the stop grace period take effect; addresses of listeners and of
/// the store stay as they were at start-up.
class SettingsReloader {
 public:
  SettingsReloader(http::EventLoop& loop,
                   TrafficServer& traffic,
                   const GatewayOptions& options)
      : traffic_(traffic), options_(options) {
    if (options_.read_settings_) {
      settings_text_ = options_.read_settings_();
      loop.Timers().AddPeriodic(kSettingsPollPeriod, [this] { Check(); });
    }
  }

  /// Sets a further receiver of reloaded settings.
  void SetOnReload(std::function<void(const GatewayOptions&)> on_reload) {
    on_reload_ = std::move(on_reload);
  }

  void Reload() {
    if (!options_.reload_) {
      return;
    }
    if (options_.read_settings_) {
      settings_text_ = options_.read_settings_();
    }
    const auto settings = options_.reload_();
    if (!settings) {
      Log(LogLevel::kError, "gateway",
          "settings are not valid, keeping the current ones",
          {{"error", Format(settings.error())}});
      return;
    }
    traffic_.SetSettings(*settings);
    if (on_reload_) {
      on_reload_(*settings);
    }
    Log(LogLevel::kInfo, "gateway", "settings reloaded",
        {{"name", settings->name_},
         {"extra_attempt_ratio", settings->limits_.extra_attempts_.ratio_},
         {"extra_attempt_slack", settings->limits_.extra_attempts_.slack_},
         {"stop_grace_ms", settings->stop_grace_}});
  }

 private:
  void Check() {
    if (options_.read_settings_() != settings_text_) {
      Reload();
    }
  }

  TrafficServer& traffic_;
  const GatewayOptions& options_;
  std::string settings_text_;
  std::function<void(const GatewayOptions&)> on_reload_;
};

/// Handles signals on the traffic loop: SIGHUP reloads the settings, SIGTERM
/// and SIGINT start a graceful shutdown.
class SignalHandler {
 public:
  SignalHandler(http::EventLoop& loop,
                TrafficServer& traffic,
                SettingsReloader& settings)
      : loop_(loop),
        traffic_(traffic),
        settings_(settings),
        signals_(loop.Context(), SIGTERM, SIGINT, SIGHUP) {
    Wait();
  }

 private:
  void Wait() {
    signals_.async_wait(
        [this](const boost::system::error_code& error, int signal) {
          if (error) {
            return;
          }
          Wait();
          loop_.Guard().Run(http::HandlerKind::kSignal,
                            [this, signal] { OnSignal(signal); });
        });
  }

  void OnSignal(int signal) {
    if (signal == SIGHUP) {
      settings_.Reload();
      return;
    }
    Log(LogLevel::kInfo, "gateway", "shutting down", {{"signal", signal}});
    traffic_.Drain([this] { loop_.Stop(); });
  }

  http::EventLoop& loop_;
  TrafficServer& traffic_;
  SettingsReloader& settings_;
  boost::asio::signal_set signals_;
};

}  // namespace

int RunGateway(const GatewayOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  GatewayMetrics metrics;
  http::EventLoop traffic_loop;
  http::EventLoop control_loop;
  TrafficServer traffic(traffic_loop, options, metrics);
  const auto listening = traffic.Listen();
  if (!listening) {
    Log(LogLevel::kError, "gateway", "cannot start",
        {{"error", Format(listening.error())}});
    return 1;
  }
  Log(LogLevel::kInfo, "gateway", "started",
      {{"name", options.name_},
       {"failure_domain", options.failure_domain_},
       {"callers", ToText(options.caller_listen_)}});
  SettingsReloader settings(traffic_loop, traffic, options);
  const SignalHandler signals(traffic_loop, traffic, settings);
  ControlLoop control(
      control_loop, options, metrics,
      [&traffic_loop, &traffic](auto view) {
        traffic_loop.Post(
            [&traffic, view = std::move(view)] { traffic.SetView(view); });
      },
      [&traffic_loop, &traffic](const auto& shares) {
        traffic_loop.Post(
            [&traffic, shares] { traffic.SetVersionShares(shares); });
      });
  if (UsageControl* usage = control.Usage()) {
    traffic.SetOnUsage([&control_loop, &control](const usage::Batch& batch) {
      control_loop.Post([&control, batch] { control.RecordUsage(batch); });
    });
    usage->SetPublish([&traffic_loop, &traffic](const auto& status) {
      traffic_loop.Post([&traffic, status] { traffic.SetUsageStatus(status); });
    });
  }
  traffic.SetOnEvidence(
      [&control_loop, &control](const traffic::VersionComparison& evidence) {
        control_loop.Post(
            [&control, evidence] { control.RecordEvidence(evidence); });
      });
  control.SetOnProof([&traffic_loop, &traffic](const auto& proof) {
    traffic_loop.Post([&traffic, proof] { traffic.SetViewProof(proof); });
  });
  settings.SetOnReload([&control_loop, &control](const auto& reloaded) {
    const auto max_view_age = reloaded.limits_.max_view_age_;
    control_loop.Post(
        [&control, max_view_age] { control.SetMaxViewAge(max_view_age); });
  });
  std::thread control_thread([&control_loop, &control] {
    control.Start();
    control_loop.Run();
  });
  traffic_loop.Run();
  control_loop.Stop();
  control_thread.join();
  Log(LogLevel::kInfo, "gateway", "stopped", {{"name", options.name_}});
  return 0;
}

}  // namespace clementinerill::gateway
