#include "daemon/daemon.h"

#include <chrono>
#include <utility>

#include "daemon/admin_access.h"
#include "daemon/explain_page.h"
#include "daemon/forward_query.h"
#include "daemon/operator_log.h"
#include "daemon/query_answer_json.h"
#include "daemon/status_page.h"
#include "logging/contain_exceptions.h"

namespace clementinerill {
namespace {

constexpr auto kControlInterval = std::chrono::milliseconds(20);
constexpr int kTicksPerUpdate = 5;
constexpr int kTicksPerCancelRetry = 10;

// A started daemon has received its seats after this long with a majority.
constexpr auto kSettleTime = std::chrono::seconds(2);

Instant Now() noexcept {
  return std::chrono::steady_clock::now();
}

}  // namespace

Daemon::Daemon(DaemonOptions options)
    : options_(std::move(options)),
      exchange_pool_(options_.exchange_threads_),
      control_pool_(options_.control_threads_),
      forward_pool_(options_.forward_threads_),
      runner_(dispatcher_, exchange_pool_, control_pool_),
      control_plane_(
          options_.cluster_,
          {[this](auto table) { ApplyTable(std::move(table)); },
           [this](auto seats) { ApplySeats(std::move(seats)); },
           [this](const Advisory& advisory) { ApplyAdvisory(advisory); },
           [this](const std::string& peer, Forward forward) {
             forward_pool_.Post([this, peer, forward = std::move(forward)] {
               ServeForward(peer, forward);
             });
           },
           [this](const std::string& peer, uint64_t id) {
             active_forwards_.Cancel(peer, id);
           }}),
      caller_server_(
          options_.caller_,
          {[this](const QueryInput& input, const std::function<bool()>& gone) {
             return Serve(input, gone);
           },
           [this] { return NotReadyReason() == Reason::kNone; }}),
      admin_server_(
          options_.admin_address_,
          options_.admin_port_,
          [this](const AdminRequest& request) { return ServeAdmin(request); }) {
}

Daemon::~Daemon() {
  Stop();
}

Result<uint16_t> Daemon::Start() {
  auto peer_port = control_plane_.Start(Now());
  if (!peer_port) {
    return peer_port;
  }
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
  control_plane_.Leave();
  caller_server_.BeginDrain();
  std::this_thread::sleep_for(options_.balancer_delay_);
  caller_server_.Stop();
  admin_server_.Stop();
  stopping_ = true;
  if (control_thread_.joinable()) {
    control_thread_.join();
  }
  forward_pool_.Stop();
  exchange_pool_.Stop();
  control_pool_.Stop();
  control_plane_.Stop();
}

QueryAnswer Daemon::Serve(const QueryInput& input,
                          const std::function<bool()>& caller_gone) {
  return Record(input, [this, &input, &caller_gone](QueryTrace& trace) {
    return Answer(input, NextRequestId(), 0, caller_gone, trace);
  });
}

QueryAnswer Daemon::Record(
    const QueryInput& input,
    const std::function<QueryAnswer(QueryTrace&)>& answer_query) {
  const Instant started = Now();
  QueryTrace trace;
  trace.received_ = started;
  QueryAnswer answer = answer_query(trace);
  metrics_.outcomes_.Increment(answer.outcome_);
  if (answer.outcome_ != Outcome::kComplete) {
    metrics_.reasons_.Increment(answer.reason_);
  }
  if (answer.outcome_ == Outcome::kRefused) {
    LogRefusal(Now(), input.route_, answer);
  }
  metrics_.query_latency_.Record(Now() - started);
  explain_.Add(input.route_, answer, std::move(trace), Now());
  return answer;
}

QueryAnswer Daemon::Answer(const QueryInput& input,
                           const std::string& generated_id,
                           int hops,
                           const std::function<bool()>& caller_gone,
                           QueryTrace& trace) {
  const auto table = dispatcher_.Table();
  if (!table) {
    return RefusedAnswer(generated_id, Reason::kNoConfiguration);
  }
  const auto request = ParseQuery(input, *table, generated_id, Now());
  if (!request) {
    return request.error();
  }
  return Route(*request, input.body_, hops, caller_gone, trace);
}

QueryAnswer Daemon::Route(const QueryRequest& request,
                          const std::string& body,
                          int hops,
                          const std::function<bool()>& caller_gone,
                          QueryTrace& trace) {
  const PoolSeats seats = dispatcher_.SeatsOf(request.route_.pool_);
  const bool has_key = !request.idempotency_key_.empty();
  const bool key_is_here =
      !has_key || KeyHolder(request, seats) == options_.name_;
  if (AcceptsNewQueries(seats, Now()) && key_is_here) {
    return RunLocally(request, caller_gone, trace);
  }
  if (hops > 0) {
    return RefusedAnswer(request.request_id_, Reason::kNoSeat);
  }
  return ForwardQuery(control_plane_.Forwards(), request, body,
                      ForwardTargets(request, seats, options_.name_),
                      caller_gone);
}

QueryAnswer Daemon::RunLocally(const QueryRequest& request,
                               const std::function<bool()>& caller_gone,
                               QueryTrace& trace) {
  const QueryContext context{dispatcher_, runner_, admission_, metrics_};
  const auto run = [&] {
    return RunQuery(context, request, caller_gone, trace);
  };
  return request.idempotency_key_.empty() ? run()
                                          : idempotency_.RunOnce(request, run);
}

void Daemon::ServeForward(const std::string& peer, const Forward& forward) {
  const ActiveForwards::Flag cancelled =
      active_forwards_.Add(peer, forward.id_);
  QueryInput input;
  input.route_ = forward.route_;
  input.request_id_ = forward.request_id_;
  input.deadline_ms_ = std::to_string(forward.deadline_ms_);
  input.idempotency_key_ = forward.idempotency_key_;
  input.body_ = forward.body_;
  const QueryAnswer answer =
      Record(input, [this, &input, &forward, &cancelled](QueryTrace& trace) {
        return Answer(
            input, forward.request_id_, static_cast<int>(forward.hops_),
            [&cancelled] { return cancelled->load(); }, trace);
      });
  active_forwards_.Remove(peer, forward.id_);
  ForwardAnswer reply;
  reply.id_ = forward.id_;
  reply.status_ = static_cast<uint32_t>(HttpStatusOf(answer));
  reply.body_ = ToJsonText(answer);
  reply.not_run_ = answer.outcome_ == Outcome::kRefused;
  control_plane_.Send(peer, reply);
}

AdminReply Daemon::ServeAdmin(const AdminRequest& request) {
  constexpr int kUnauthorized = 401;
  constexpr int kNotFound = 404;
  if (!IsAllowed(request, options_.admin_token_)) {
    return {kUnauthorized, "application/json",
            R"({"error": "changes need the admin token"})"};
  }
  if (request.path_ == "/metrics") {
    return {200, "text/plain; version=0.0.4",
            metrics_.registry_.PrometheusText()};
  }
  if (request.path_ == "/status") {
    return ServeStatus();
  }
  if (auto reply = ServeExplain(explain_, request, Now())) {
    return *reply;
  }
  return {kNotFound, "application/json", R"({"error": "unknown path"})"};
}

AdminReply Daemon::ServeStatus() const {
  const auto table = dispatcher_.Table();
  const auto upstreams = dispatcher_.Status(Now());
  const Reason reason = NotReadyReason();
  const std::string not_ready =
      reason == Reason::kNone ? "" : std::string(NameOf(kReasonNames, reason));
  AdminReply reply;
  std::map<std::string, PoolSeats> seats;
  if (table) {
    for (const auto& [name, pool] : table->pools_) {
      seats[name] = dispatcher_.SeatsOf(name);
    }
  }
  reply.body_ = StatusJson({options_, table.get(), upstreams, not_ready, seats,
                            control_plane_.StatusText()});
  return reply;
}

Reason Daemon::NotReadyReason() const {
  if (draining_) {
    return Reason::kDraining;
  }
  if (dispatcher_.Table() == nullptr) {
    return Reason::kNoConfiguration;
  }
  return has_majority_ && seats_settled_ ? Reason::kNone : Reason::kNoSeat;
}

std::string Daemon::NextRequestId() {
  return options_.name_ + "-" + std::to_string(++last_request_);
}

void Daemon::RunControl() {
  for (int tick = 0; !stopping_; ++tick) {
    ContainExceptions("control", [this, tick] { RunControlTick(tick); });
    std::this_thread::sleep_for(kControlInterval);
  }
}

void Daemon::RunControlTick(int tick) {
  const Instant now = Now();
  ExchangeColdMarks();
  control_plane_.Tick(now);
  if (tick % kTicksPerUpdate == 0) {
    dispatcher_.Maintain(now);
    UpdateCapacities(now);
  }
  MaintainConnections();
  if (tick % kTicksPerCancelRetry == 0) {
    runner_.RetryCancellations();
  }
}

void Daemon::MaintainConnections() {
  for (const auto& state : dispatcher_.Upstreams()) {
    const int silent = state->pool_.CondemnSilent(Now());
    metrics_.silent_connections_.Increment(static_cast<uint64_t>(silent));
    if (silent > 0) {
      LogConnectionsCondemned(Now(), state->upstream_.name_, silent);
    }
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

void Daemon::ApplySeats(std::shared_ptr<const PublishedSeats> seats) {
  const Instant now = Now();
  has_majority_ = seats->has_majority_;
  if (!seats->has_majority_) {
    settle_at_ = now + kSettleTime;
  }
  const bool settled = now >= settle_at_ && !HasWaitingSeat(*seats, now);
  seats_settled_ = seats_settled_ || settled;
  dispatcher_.SetSeats(std::move(seats));
}

void Daemon::ApplyTable(std::shared_ptr<const RoutingTable> table) {
  dispatcher_.Apply(std::move(table), Now());
}

void Daemon::ExchangeColdMarks() {
  for (const ColdMark& mark : dispatcher_.TakeColdMarks()) {
    control_plane_.Raise({AdvisoryKind::kReplicaCold, mark.upstream_,
                          mark.generation_, mark.active_, options_.name_});
  }
}

void Daemon::ApplyAdvisory(const Advisory& advisory) {
  if (advisory.kind_ == AdvisoryKind::kReplicaCold) {
    dispatcher_.ApplyColdMark(
        {advisory.subject_, advisory.generation_, advisory.active_}, Now());
  }
}

void Daemon::UpdateCapacities(Instant now) {
  const auto table = dispatcher_.Table();
  if (!table) {
    return;
  }
  for (const auto& [name, pool] : table->pools_) {
    admission_.Of(name)->SetCapacity(dispatcher_.SweepCapacity(name, now));
  }
}

}  // namespace clementinerill
