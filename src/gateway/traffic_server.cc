#include "gateway/traffic_server.h"

#include <algorithm>
#include <utility>

#include "base/parse_number.h"
#include "gateway/caller_answer.h"
#include "gateway/status_page.h"
#include "logging/log.h"
#include "traffic/start_query.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

// Period of timeouts, connection upkeep and the progress of a shutdown.
constexpr Duration kTick = milliseconds(250);

// A stopping daemon accepts connections for this long: the balancer asks once
// a second and takes a daemon out after two misses.
constexpr Duration kBalancerDelay = milliseconds(2800);

// The last answers leave this long before the process is killed.
constexpr Duration kStopMargin = milliseconds(700);

// Pause for callers of a daemon that has no configuration yet; other daemons
// usually have one.
constexpr double kUnconfiguredRetryS = 0.1;

// What operators read besides the metrics: everything, or one service.
constexpr std::string_view kStatusPath = "/status";
constexpr std::string_view kServiceStatusPath = "/status/";

bool IsPrefix(std::string_view prefix, std::string_view text) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

TrafficServer::TrafficServer(http::EventLoop& loop,
                             const GatewayOptions& options,
                             GatewayMetrics& metrics)
    : loop_(loop),
      options_(options),
      metrics_(metrics),
      pool_(loop),
      context_{loop, fleet_, pool_, options.names_, metrics, draining_},
      callers_(loop,
               [this](const Caller& caller, http::HttpRequest request) {
                 OnRequest(caller, std::move(request));
               }),
      balancer_(loop,
                [this](const Caller& caller, const http::HttpRequest& request) {
                  OnReadyCheck(caller, request);
                }),
      operators_(
          loop,
          [this](const Caller& caller, const http::HttpRequest& request) {
            OnOperatorRequest(caller, request);
          }) {
  fleet_.name_ = options.name_;
  fleet_.failure_domain_ = options.failure_domain_;
  SetSettings(options);
  fleet_.view_ = std::make_shared<traffic::TrafficView>();
}

Result<void> TrafficServer::Listen() {
  const auto listen = [](http::Listener& listener, const Endpoint& endpoint) {
    return listener.Listen(endpoint.address_, endpoint.port_);
  };
  auto result = listen(callers_, options_.caller_listen_);
  if (result) {
    result = listen(balancer_, options_.ready_listen_);
  }
  if (result && options_.metrics_listen_) {
    result = listen(operators_, *options_.metrics_listen_);
  }
  if (!result) {
    return tl::make_unexpected(result.error());
  }
  Tick();
  return {};
}

void TrafficServer::SetView(std::shared_ptr<const traffic::TrafficView> view) {
  const bool configured = view->configuration_ != nullptr;
  traffic::ApplyView(fleet_, std::move(view));
  metrics_.replicas_.Set(static_cast<int64_t>(fleet_.view_->replicas_.size()));
  if (configured) {
    const auto& configuration = *fleet_.view_->configuration_;
    metrics_.version_.Set(configuration.version_);
    callers_.SetLimits(configuration.limits_);
  }
  pool_.Maintain(fleet_, http::EventLoop::Now());
}

void TrafficServer::SetSettings(const GatewayOptions& settings) {
  fleet_.limits_ = settings.limits_;
  stop_grace_ = settings.stop_grace_;
}

bool TrafficServer::IsReady() const {
  return !draining_ && fleet_.view_->configuration_ &&
         !fleet_.view_->replicas_.empty();
}

void TrafficServer::OnReadyCheck(const Caller& caller,
                                 const http::HttpRequest& request) {
  http::HttpResponse answer;
  answer.status_ = 404;
  if (request.target_ == options_.names_.ready_path_) {
    const bool ready = IsReady();
    if (ready != was_ready_) {
      was_ready_ = ready;
      Log(LogLevel::kInfo, "ready", "changed",
          {{"ready", ready},
           {"draining", draining_},
           {"replicas", fleet_.view_->replicas_.size()}});
    }
    answer.status_ = ready ? 200 : 503;
  }
  caller->Respond(answer, false);
}

void TrafficServer::OnOperatorRequest(const Caller& caller,
                                      const http::HttpRequest& request) {
  http::HttpResponse answer;
  answer.status_ = 404;
  const std::string_view target = request.target_;
  if (target == "/metrics") {
    answer.status_ = 200;
    answer.headers_.emplace_back("Content-Type", "text/plain; version=0.0.4");
    answer.body_ = metrics_.registry_.PrometheusText();
  } else if (target == kStatusPath || IsPrefix(kServiceStatusPath, target)) {
    const std::string service(target == kStatusPath
                                  ? std::string_view()
                                  : target.substr(kServiceStatusPath.size()));
    answer.status_ = 200;
    answer.headers_.emplace_back("Content-Type", "application/json");
    answer.body_ =
        StatusOf(fleet_, service, http::EventLoop::Now()).dump() + "\n";
  }
  caller->Respond(answer, false);
}

void TrafficServer::Refuse(const Caller& caller,
                           const http::HttpRequest& request) {
  static RateLimitedLogger lines;
  metrics_.unconfigured_.Increment();
  lines.Log(
      http::EventLoop::Now(), LogLevel::kWarning, "query",
      "refused without a configuration",
      {{"id", http::FindHeader(request.headers_, options_.names_.request_id_)},
       {"status", 503}});
  caller->Respond(RefusalAnswer(kUnconfiguredRetryS), draining_);
}

void TrafficServer::RejectUnrouted(const Caller& caller,
                                   const http::HttpRequest& request) {
  static RateLimitedLogger lines;
  metrics_.unrouted_.Increment();
  lines.Log(
      http::EventLoop::Now(), LogLevel::kWarning, "query", "no route",
      {{"id", http::FindHeader(request.headers_, options_.names_.request_id_)},
       {"host", http::FindHeader(request.headers_, "Host")},
       {"target", request.target_},
       {"status", 404},
       {"version", fleet_.view_->configuration_->version_}});
  http::HttpResponse answer;
  answer.status_ = 404;
  caller->Respond(answer, draining_);
}

void TrafficServer::OnRequest(const Caller& caller, http::HttpRequest request) {
  if (!fleet_.view_->configuration_) {
    Refuse(caller, request);
    return;
  }
  const traffic::RouteRule* route = traffic::FindRoute(
      *fleet_.view_->configuration_, http::FindHeader(request.headers_, "Host"),
      request.target_);
  if (!route) {
    RejectUnrouted(caller, request);
    return;
  }
  Serve(caller, std::move(request), *route);
}

Duration TrafficServer::Patience(const http::HttpRequest& request,
                                 const traffic::RouteRule& route) const {
  const auto milliseconds_left =
      ParseNumber(http::FindHeader(request.headers_, options_.names_.timeout_));
  return milliseconds_left ? milliseconds(*milliseconds_left) : route.timeout_;
}

void TrafficServer::Serve(const Caller& caller,
                          http::HttpRequest request,
                          const traffic::RouteRule& route) {
  const Instant now = http::EventLoop::Now();
  const Duration spent = now - caller->RequestStart();
  const Duration patience = Patience(request, route) - spent;
  std::string id(
      http::FindHeader(request.headers_, options_.names_.request_id_));
  auto query = traffic::StartQuery(fleet_, route, std::move(id), patience, now);
  const auto session = std::make_shared<QuerySession>(
      context_, caller, std::move(request), std::move(query));
  sessions_.push_back(session);
  session->Start();
}

void TrafficServer::Forget() {
  sessions_.remove_if([](const std::weak_ptr<QuerySession>& session) {
    return session.expired();
  });
}

void TrafficServer::Tick() {
  const Instant now = http::EventLoop::Now();
  const bool refuses_new =
      drain_began_ && now - *drain_began_ >= kBalancerDelay;
  callers_.CheckTimeouts(refuses_new, now);
  balancer_.CheckTimeouts(false, now);
  operators_.CheckTimeouts(false, now);
  pool_.Maintain(fleet_, now);
  Forget();
  CheckDrain(now);
  ReportRollouts();
  loop_.Timers().Add(now + kTick, [this] { Tick(); });
}

void TrafficServer::ReportRollouts() {
  for (const auto& [name, service] : fleet_.services_) {
    if (on_evidence_ && service->rollout_ &&
        service->rollout_->order_.state_ ==
            traffic::RolloutState::kInProgress) {
      on_evidence_(*service->rollout_);
    }
  }
}

void TrafficServer::Drain(std::function<void()> stopped) {
  if (drain_began_) {
    return;
  }
  draining_ = true;
  drain_began_ = http::EventLoop::Now();
  stopped_ = std::move(stopped);
}

void TrafficServer::CheckDrain(Instant now) {
  if (!drain_began_ || now - *drain_began_ < kBalancerDelay) {
    return;
  }
  callers_.StopAccepting();
  const bool must_end = now - *drain_began_ >= stop_grace_ - kStopMargin;
  if (must_end) {
    for (const auto& weak : sessions_) {
      if (const auto session = weak.lock()) {
        session->GiveUp();
      }
    }
  }
  const bool idle = callers_.CountOpen() == 0;
  if ((idle || must_end) && stopped_) {
    const auto stopped = std::move(stopped_);
    stopped_ = nullptr;
    // The last answers are written before the loop ends.
    loop_.Timers().Add(now + milliseconds(50), stopped);
  }
}

}  // namespace clementinerill::gateway
