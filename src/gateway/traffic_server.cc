#include "gateway/traffic_server.h"

#include <algorithm>
#include <utility>

#include "base/parse_number.h"
#include "gateway/caller_access.h"
#include "gateway/caller_rejection.h"
#include "gateway/gather_permission.h"
#include "gateway/part_limit.h"
#include "gateway/status_page.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

// Period of timeout checks, connection maintenance and shutdown progress.
constexpr Duration kTickPeriod = milliseconds(250);

// A stopping daemon accepts connections for this long: the balancer probes once
// a second and takes a daemon out of rotation after two failed probes.
constexpr Duration kBalancerDelay = milliseconds(2800);

// The last responses are sent this long before the process is killed.
constexpr Duration kKillMargin = milliseconds(700);

// A stopping daemon takes a request only if this multiple of the 90th
// percentile of its route is left until the last responses are sent; it covers
// a retry.
constexpr double kServeTimeFactor = 2.0;
// Lower bound of that time.
constexpr Duration kMinServeTime = milliseconds(100);

// Part of the memory for the responses of replicas. A response takes up to
// three times its size, while its buffer grows and while it is passed on.
constexpr uint64_t kResponseMemoryPart = 8;

// Aggregators that a query is forwarded to until one does not refuse it.
constexpr int kMaxForwardTries = 3;

// Cap of the time that a caller names; longer ones would overflow when added to
// a time. The timeout of the route applies besides.
constexpr milliseconds kMaxCallerTimeout = std::chrono::hours(24);

// Paths of the status page: all services, or the one whose name follows.
constexpr std::string_view kStatusPath = "/status";
constexpr std::string_view kServiceStatusPath = "/status/";

Duration ServeTime(Duration latency_p90) {
  return std::max(Duration(kMinServeTime),
                  Scale(latency_p90, kServeTimeFactor));
}

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
      response_budget_(std::make_shared<BufferBudget>()),
      budgets_(MakeListenerBudgets()),
      pool_(loop, response_budget_),
      aggregators_(loop, response_budget_),
      context_{loop,           fleet_,  pool_,    aggregators_,
               options.names_, metrics, draining_},
      caller_listener_(loop,
                       [this](const Caller& caller, http::HttpRequest request) {
                         OnRequest(caller, std::move(request));
                       }),
      balancer_listener_(
          loop,
          [this](const Caller& caller, const http::HttpRequest& request) {
            OnReadyCheck(caller, request);
          }),
      operator_listener_(
          loop,
          [this](const Caller& caller, const http::HttpRequest& request) {
            OnOperatorRequest(caller, request);
          }),
      forward_listener_(
          loop,
          [this](const Caller& caller, http::HttpRequest request) {
            OnForwardedRequest(caller, std::move(request));
          }) {
  CountExceptions(loop, metrics);
  fleet_.name_ = options.name_;
  fleet_.failure_domain_ = options.failure_domain_;
  fleet_.region_ = options.region_;
  SetSettings(options);
  fleet_.view_ = std::make_shared<traffic::TrafficView>();
  LimitListeners({caller_listener_, balancer_listener_, operator_listener_,
                  forward_listener_},
                 budgets_, options);
  caller_listener_.SetHeadCheck([this](const http::RequestHead& head) {
    return CheckHead(context_, head);
  });
  caller_listener_.SetOnReject([this](http::RequestError error) {
    metrics_.requests_rejected_.Increment(error);
  });
}

Result<void> TrafficServer::Listen() {
  const auto listen = [](http::Listener& listener, const Endpoint& endpoint) {
    return listener.Listen(endpoint.address_, endpoint.port_);
  };
  auto result = listen(caller_listener_, options_.caller_listen_);
  if (result) {
    result = listen(balancer_listener_, options_.ready_listen_);
  }
  if (result && options_.metrics_listen_) {
    result = listen(operator_listener_, *options_.metrics_listen_);
  }
  if (result && options_.forward_listen_) {
    result = listen(forward_listener_, *options_.forward_listen_);
  }
  if (!result) {
    return tl::make_unexpected(result.error());
  }
  Tick();
  loop_.Timers().AddPeriodic(kTickPeriod, [this] { Tick(); });
  return {};
}

void TrafficServer::SetView(std::shared_ptr<const traffic::TrafficView> view) {
  new_view_ = std::move(view);
  ApplyNewView();
}

// An exception leaves the view to be applied by the next tick.
void TrafficServer::ApplyNewView() {
  if (!new_view_) {
    return;
  }
  const bool configured = new_view_->configuration_ != nullptr;
  traffic::ApplyView(fleet_, new_view_);
  metrics_.replicas_.Set(static_cast<int64_t>(fleet_.view_->replicas_.size()));
  if (configured) {
    const auto& configuration = *fleet_.view_->configuration_;
    metrics_.version_.Set(configuration.version_);
    caller_listener_.SetLimits(configuration.limits_);
  }
  pool_.Maintain(fleet_, http::EventLoop::Now());
  aggregators_.Maintain(traffic::UsedAggregators(fleet_.aggregation_),
                        http::EventLoop::Now());
  new_view_.reset();
}

void TrafficServer::SetSettings(const GatewayOptions& settings) {
  fleet_.limits_ = settings.limits_;
  stop_grace_ = settings.stop_grace_;
  response_budget_->limit_bytes_ = settings.memory_bytes_ / kResponseMemoryPart;
  SetMemory(budgets_, settings.memory_bytes_);
}

void TrafficServer::OnReadyCheck(const Caller& caller,
                                 const http::HttpRequest& request) {
  http::HttpResponse response;
  response.status_ = 404;
  if (request.target_ == options_.names_.ready_path_) {
    const bool ready = IsReady();
    if (ready != was_ready_) {
      was_ready_ = ready;
      Log(LogLevel::kInfo, "ready", "changed",
          {{"ready", ready},
           {"draining", draining_},
           {"replicas", fleet_.view_->replicas_.size()}});
    }
    response.status_ = ready ? 200 : 503;
  }
  caller->Respond(response, false);
}

void TrafficServer::OnOperatorRequest(const Caller& caller,
                                      const http::HttpRequest& request) {
  http::HttpResponse response;
  response.status_ = 404;
  const std::string_view target = request.target_;
  if (target == "/metrics") {
    response.status_ = 200;
    response.headers_.emplace_back("Content-Type", "text/plain; version=0.0.4");
    response.body_ = metrics_.registry_.PrometheusText();
  } else if (target == kStatusPath || IsPrefix(kServiceStatusPath, target)) {
    const std::string service(target == kStatusPath
                                  ? std::string_view()
                                  : target.substr(kServiceStatusPath.size()));
    response.status_ = 200;
    response.headers_.emplace_back("Content-Type", "application/json");
    const auto status = StatusJson(fleet_, service, http::EventLoop::Now(),
                                   http::EventLoop::BootNow());
    // Text of other writers may contain invalid UTF-8.
    response.body_ =
        status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
        "\n";
  }
  caller->Respond(response, false);
}

void TrafficServer::OnRequest(const Caller& caller, http::HttpRequest request) {
  if (DropIfCallerLeft(context_, caller, request)) {
    return;
  }
  if (!fleet_.view_->configuration_) {
    RejectUnconfigured(context_, caller, request);
    return;
  }
  const traffic::RouteRule* route = traffic::FindRoute(
      *fleet_.view_->configuration_, http::FindHeader(request.headers_, "Host"),
      request.target_);
  if (!route) {
    RejectUnrouted(context_, caller, request);
    return;
  }
  auto access = CheckRequest(context_, request, *route);
  if (access.refusal_) {
    caller->Respond(*access.refusal_, draining_);
    return;
  }
  Serve(caller, std::move(request), *route, std::move(access.credential_));
}

Duration TrafficServer::RequestTimeout(const http::HttpRequest& request,
                                       const traffic::RouteRule& route) const {
  const auto milliseconds_left = ParseNumberUpTo(
      http::FindHeader(request.headers_, options_.names_.timeout_),
      kMaxCallerTimeout.count());
  return milliseconds_left ? milliseconds(*milliseconds_left) : route.timeout_;
}

void TrafficServer::Serve(const Caller& caller,
                          http::HttpRequest request,
                          const traffic::RouteRule& route,
                          organisations::Credential credential) {
  const Instant now = http::EventLoop::Now();
  const Duration elapsed = now - caller->RequestStart();
  Duration timeout = RequestTimeout(request, route) - elapsed;
  if (drain_started_) {
    const Duration left = ServeEnd() - now;
    if (left < ServeTime(traffic::RouteLatency(fleet_, route).P90())) {
      RejectStopping(context_, caller, request);
      return;
    }
    timeout = std::min(timeout, left);
  }
  if (!traffic::IsAggregated(route)) {
    traffic::QueryOrigin origin;
    origin.credential_ = std::move(credential);
    StartSession(caller, std::move(request), route, timeout, origin);
    return;
  }
  RemoveAccessHeaders(fleet_, options_.names_, request.headers_);
  ForwardedQuery query;
  query.id_ = std::string(
      http::FindHeader(request.headers_, options_.names_.request_id_));
  query.organisation_ = std::move(credential.organisation_);
  query.key_ = credential.key_;
  query.caller_ = caller;
  query.request_ = std::move(request);
  query.view_ = fleet_.view_;
  query.route_ = &route;
  query.started_ = now;
  query.deadline_ = now + std::min(timeout, route.timeout_);
  Forward(std::move(query), now);
}

void TrafficServer::StartSession(const Caller& caller,
                                 http::HttpRequest request,
                                 const traffic::RouteRule& route,
                                 Duration timeout,
                                 const traffic::QueryOrigin& origin) {
  std::string id(
      http::FindHeader(request.headers_, options_.names_.request_id_));
  auto query = traffic::StartQuery(fleet_, route, std::move(id), timeout,
                                   http::EventLoop::Now(), origin);
  const auto session = std::make_shared<QuerySession>(
      context_, caller, std::move(request), std::move(query));
  sessions_.push_back(session);
  session->Start();
}

void TrafficServer::Forward(ForwardedQuery query, Instant now) {
  const bool may_leave =
      !RecheckAccess(fleet_, *query.view_->configuration_, *query.route_,
                     {query.organisation_, query.key_});
  auto lease = may_leave && query.tries_ < kMaxForwardTries
                   ? aggregators_.Acquire(fleet_.aggregation_.preferred_, now)
                   : std::nullopt;
  if (!lease) {
    GatherHere(std::move(query), false, now);
    return;
  }
  ++query.tries_;
  const auto session = std::make_shared<ForwardSession>(
      context_, std::move(query), std::move(*lease),
      [this](ForwardedQuery returned, bool may_have_run) {
        OnNotForwarded(std::move(returned), may_have_run);
      });
  forwards_.push_back(session);
  session->Start();
}

void TrafficServer::OnNotForwarded(ForwardedQuery query, bool may_have_run) {
  const Instant now = http::EventLoop::Now();
  if (may_have_run) {
    GatherHere(std::move(query), true, now);
  } else {
    Forward(std::move(query), now);
  }
}

void TrafficServer::GatherHere(ForwardedQuery query,
                               bool may_have_run,
                               Instant now) {
  // The configuration may have changed since the query was received.
  const traffic::RouteRule* route =
      traffic::FindRoute(*fleet_.view_->configuration_,
                         http::FindHeader(query.request_.headers_, "Host"),
                         query.request_.target_);
  if (!route) {
    RejectUnrouted(context_, query.caller_, query.request_);
    return;
  }
  traffic::QueryOrigin origin;
  origin.elapsed_ = now - query.started_;
  origin.is_repeat_ = may_have_run;
  origin.credential_ = {std::move(query.organisation_), query.key_};
  StartSession(query.caller_, std::move(query.request_), *route,
               query.deadline_ - now, origin);
}

size_t TrafficServer::CountPartsInProgress() const {
  size_t parts = 0;
  for (const auto& weak : sessions_) {
    const auto session = weak.lock();
    parts += session ? session->PartsInProgress() : 0;
  }
  return parts;
}

void TrafficServer::OnForwardedRequest(const Caller& caller,
                                       http::HttpRequest request) {
  const auto header =
      DecodeForwardHeader(http::FindHeader(request.headers_, kForwardHeader));
  const auto& configuration = fleet_.view_->configuration_;
  const traffic::RouteRule* route =
      configuration
          ? traffic::FindRoute(*configuration,
                               http::FindHeader(request.headers_, "Host"),
                               request.target_)
          : nullptr;
  if (DropIfCallerLeft(context_, caller, request)) {
    return;
  }
  if (!header || !route || draining_ ||
      !MayGatherForOthers(fleet_, *route, *header, MaxPartsForOthers(options_),
                          CountPartsInProgress()) ||
      !MayRunForwarded(context_, request, *route, header->organisation_)) {
    metrics_.forwards_refused_.Increment();
    http::HttpResponse response;
    response.status_ = kForwardRefused;
    caller->Respond(response, draining_);
    return;
  }
  metrics_.gathered_for_others_.Increment();
  caller->SendInterim(kForwardStarted);
  request.headers_.erase(
      std::remove_if(request.headers_.begin(), request.headers_.end(),
                     [](const auto& field) {
                       return http::IsSameHeaderName(field.first,
                                                     kForwardHeader);
                     }),
      request.headers_.end());
  traffic::QueryOrigin origin;
  origin.elapsed_ = header->elapsed_;
  origin.is_forwarded_ = true;
  origin.subset_ = header->subset_;
  origin.credential_.organisation_ = header->organisation_;
  const Duration timeout = RequestTimeout(request, *route);
  StartSession(caller, std::move(request), *route, timeout, origin);
}

void TrafficServer::RemoveExpiredSessions() {
  const auto is_expired = [](const auto& session) { return session.expired(); };
  sessions_.remove_if(is_expired);
  forwards_.remove_if(is_expired);
}

void TrafficServer::Tick() {
  ApplyNewView();
  const Instant now = http::EventLoop::Now();
  const bool refuses_new =
      drain_started_ && now - *drain_started_ >= kBalancerDelay;
  caller_listener_.CheckTimeouts(refuses_new, now);
  balancer_listener_.CheckTimeouts(false, now);
  operator_listener_.CheckTimeouts(false, now);
  forward_listener_.CheckTimeouts(false, now);
  pool_.Maintain(fleet_, now);
  aggregators_.Maintain(traffic::UsedAggregators(fleet_.aggregation_), now);
  ReportBuffers();
  proof_report_.Update(fleet_, http::EventLoop::BootNow());
  RemoveExpiredSessions();
  CheckDrain(now);
  ReportRolloutEvidence();
}

void TrafficServer::ReportBuffers() {
  const auto report = [](const BufferBudget& budget, Gauge& gauge) {
    gauge.Set(static_cast<int64_t>(budget.held_bytes_));
  };
  report(*response_budget_, metrics_.response_buffers_);
  report(*budgets_.requests_, metrics_.request_buffers_);
  report(*budgets_.unread_, metrics_.unread_responses_);
  const auto count = [](uint64_t total, uint64_t& counted, Counter& counter) {
    counter.Increment(total - counted);
    counted = total;
  };
  count(budgets_.requests_->refusals_, counted_refusals_,
        metrics_.requests_refused_);
  count(budgets_.unread_->refusals_, counted_drops_, metrics_.unread_dropped_);
  count(caller_listener_.CountClosedForRoom(), counted_closed_,
        metrics_.closed_for_room_);
}

void TrafficServer::ReportRolloutEvidence() {
  if (!on_evidence_) {
    return;
  }
  for (const auto& evidence : traffic::RolloutEvidence(fleet_)) {
    on_evidence_(evidence);
  }
}

void TrafficServer::Drain(std::function<void()> stopped) {
  if (drain_started_) {
    return;
  }
  draining_ = true;
  drain_started_ = http::EventLoop::Now();
  stopped_ = std::move(stopped);
}

Instant TrafficServer::ServeEnd() const {
  return *drain_started_ + stop_grace_ - kKillMargin;
}

void TrafficServer::CheckDrain(Instant now) {
  if (!drain_started_ || now - *drain_started_ < kBalancerDelay) {
    return;
  }
  caller_listener_.StopAccepting();
  const bool must_end = now >= ServeEnd();
  if (must_end) {
    for (const auto& weak : sessions_) {
      if (const auto session = weak.lock()) {
        session->Abort();
      }
    }
    for (const auto& weak : forwards_) {
      if (const auto session = weak.lock()) {
        session->Abort();
      }
    }
  }
  const bool idle = caller_listener_.CountOpen() == 0 &&
                    forward_listener_.CountServing() == 0;
  if ((idle || must_end) && stopped_) {
    const auto stopped = std::move(stopped_);
    stopped_ = nullptr;
    // Gives the loop time to write the last responses.
    loop_.Timers().Add(now + milliseconds(50), stopped);
  }
}

}  // namespace clementinerill::gateway
