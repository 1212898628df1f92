#include "gateway/gateway.h"

#include <csignal>

#include <thread>

#include <boost/asio/signal_set.hpp>

#include "gateway/control_loop.h"
#include "gateway/gateway_metrics.h"
#include "gateway/traffic_server.h"
#include "http/event_loop.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

// The platform may change the settings without a signal; they are compared in
// this period.
constexpr Duration kSettingsPeriod = std::chrono::seconds(2);

/// Takes changed settings while the process runs, on SIGHUP and without one.
///
/// Addresses of listeners and of the store cannot change then; limits can.
class SettingsReloader {
 public:
  SettingsReloader(http::EventLoop& loop,
                   TrafficServer& traffic,
                   const GatewayOptions& options)
      : loop_(loop), traffic_(traffic), options_(options) {
    if (options_.read_settings_) {
      text_ = options_.read_settings_();
      CheckLater();
    }
  }

  void Reload() {
    if (!options_.reload_) {
      return;
    }
    if (options_.read_settings_) {
      text_ = options_.read_settings_();
    }
    const auto settings = options_.reload_();
    if (!settings) {
      Log(LogLevel::kError, "gateway", "settings are wrong, kept the last ones",
          {{"error", Format(settings.error())}});
      return;
    }
    traffic_.SetSettings(*settings);
    Log(LogLevel::kInfo, "gateway", "settings read again",
        {{"name", settings->name_},
         {"extra_attempt_ratio", settings->limits_.extra_attempts_.ratio_},
         {"extra_attempt_slack", settings->limits_.extra_attempts_.slack_},
         {"stop_grace_ms", settings->stop_grace_}});
  }

 private:
  void CheckLater() {
    loop_.Timers().Add(http::EventLoop::Now() + kSettingsPeriod, [this] {
      if (options_.read_settings_() != text_) {
        Reload();
      }
      CheckLater();
    });
  }

  http::EventLoop& loop_;
  TrafficServer& traffic_;
  const GatewayOptions& options_;
  std::string text_;
};

/// Signals as events of the traffic loop.
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
          OnSignal(signal);
          Wait();
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
      control_loop, options, metrics, [&traffic_loop, &traffic](auto view) {
        traffic_loop.Post(
            [&traffic, view = std::move(view)] { traffic.SetView(view); });
      });
  traffic.SetOnEvidence([&control_loop,
                         &control](const traffic::VersionComparison& evidence) {
    control_loop.Post([&control, evidence] { control.TakeEvidence(evidence); });
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
