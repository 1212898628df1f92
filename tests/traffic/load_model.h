#ifndef CLEMENTINERILL_TESTS_TRAFFIC_LOAD_MODEL_H_
#define CLEMENTINERILL_TESTS_TRAFFIC_LOAD_MODEL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {

/// Simulated behaviour of one replica.
struct ReplicaBehaviour {
  double slow_factor_ = 1.0;
  double shed_share_ = 0.0;     ///< Share refused at once, before running.
  double failure_share_ = 0.0;  ///< Share run with a failure as response.
  /// Requests per second that the replica names as its limit; 0: none.
  double rate_limit_ = 0;
  bool is_unresponsive_ = false;  ///< Accepts requests and never responds.
  Duration pause_{};              ///< Length of a pause.
  Duration pause_every_{};        ///< Interval between starts of pauses.
};

/// Results as seen by callers.
struct LoadResult {
  int queries_ = 0;
  int complete_in_time_ = 0;
  int answered_in_time_ = 0;  ///< Complete or partial.
  int refused_ = 0;
  int failed_ = 0;
  int requests_ = 0;  ///< First attempts.
  int extras_ = 0;
  Duration longest_refusal_{};  ///< Maximum latency of a refused query.

  [[nodiscard]] double InTimeRatio() const {
    return static_cast<double>(answered_in_time_) / queries_;
  }
  [[nodiscard]] double ExtraRatio() const {
    return static_cast<double>(extras_) / requests_;
  }
};

/// Simulates fan-out queries of one daemon against replicas with slots and
/// queues. Uses the production decision code with virtual time and no sockets.
class LoadModel {
 public:
  LoadModel(RouteRule route,
            double queries_per_s,
            uint64_t seed,
            int daemons = 1)
      : fleet_({std::move(route)}, daemons),
        random_(seed),
        interval_(1.0 / queries_per_s) {
    const auto& routes = fleet_.state_.view_->configuration_->routes_;
    route_ = &routes.begin()->second.front();
  }

  Fleet fleet_;
  std::map<std::string, ReplicaBehaviour> behaviours_;  ///< By replica id.
  /// Arrivals at replicas with a rate limit, by replica id.
  std::map<std::string, std::vector<Instant>> arrivals_;

  LoadResult Simulate(Duration length) {
    end_ = At(length);
    ArriveNext(At({}));
    while (!events_.empty()) {
      const auto event = std::move(*events_.begin());
      events_.erase(events_.begin());
      event.second(event.first.first);
    }
    return result_;
  }

 private:
  struct Request {
    std::shared_ptr<Query> query_;
    SendAction action_;
  };
  struct Server {
    int busy_ = 0;
    std::deque<Request> queue_;
  };

  void Schedule(Instant at, std::function<void(Instant)> event) {
    events_.emplace(std::make_pair(at, next_event_id_++), std::move(event));
  }

  double Uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }

  void ArriveNext(Instant now) {
    if (now >= end_) {
      return;
    }
    auto query = std::make_shared<Query>(
        StartQuery(fleet_.state_, *route_, std::to_string(result_.queries_),
                   milliseconds(1200), now));
    ++result_.queries_;
    Step(query, now);
    const double wait =
        std::exponential_distribution<>(1.0 / interval_)(random_);
    Schedule(now + std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double>(wait)),
             [this](Instant at) { ArriveNext(at); });
  }

  void Step(const std::shared_ptr<Query>& query, Instant now) {
    if (query->outcome_ != QueryOutcome::kOpen) {
      return;
    }
    for (const SendAction& send : Advance(fleet_.state_, *query, now)) {
      (send.attempt_ == 0 ? result_.requests_ : result_.extras_) += 1;
      Schedule(now + NetworkDelay(*query, send),
               [this, query, send](Instant at) {
                 Deliver({query, send}, at);
               });
    }
    if (query->outcome_ != QueryOutcome::kOpen) {
      RecordResult(*query, now);
      return;
    }
    Schedule(query->wake_at_, [this, query](Instant at) { Step(query, at); });
  }

  static const ReplicaState& ReplicaOf(const Request& request) {
    return *request.query_->parts_[request.action_.part_]
                .attempts_[request.action_.attempt_]
                .replica_;
  }

  static Duration NetworkDelay(const Query& query, SendAction send) {
    const auto& entry =
        query.parts_[send.part_].attempts_[send.attempt_].replica_->entry_;
    return entry.failure_domain_ == "a" ? std::chrono::microseconds(200)
                                        : std::chrono::microseconds(1000);
  }

  void Reply(const Request& request, AttemptOutcome outcome, Instant now) {
    Schedule(now + NetworkDelay(*request.query_, request.action_),
             [this, request, outcome](Instant at) {
               RecordAttemptOutcome(fleet_.state_, *request.query_,
                                    request.action_, outcome, {}, at);
               RecordLimit(request, at);
               Step(request.query_, at);
             });
  }

  void RecordLimit(const Request& request, Instant now) {
    const auto& part = request.query_->parts_[request.action_.part_];
    ReplicaState& replica = *part.attempts_[request.action_.attempt_].replica_;
    ReplicaReport report;
    if (const double limit = behaviours_[replica.entry_.id_].rate_limit_) {
      report.rate_limit_ = limit;
    }
    RecordReport(fleet_.state_, replica, report, now);
  }

  void Deliver(const Request& request, Instant now) {
    const ReplicaState& replica = ReplicaOf(request);
    const ReplicaBehaviour& behaviour = behaviours_[replica.entry_.id_];
    if (behaviour.rate_limit_ > 0) {
      arrivals_[replica.entry_.id_].push_back(now);
    }
    if (behaviour.is_unresponsive_) {
      Schedule(request.query_->deadline_, [this, request](Instant at) {
        RecordAttemptOutcome(fleet_.state_, *request.query_, request.action_,
                             AttemptOutcome::kAbandoned, {}, at);
      });
      return;
    }
    if (Uniform() < behaviour.shed_share_) {
      Reply(request, AttemptOutcome::kShed, now);
      return;
    }
    Server& server = servers_[replica.entry_.id_];
    if (server.busy_ >= replica.entry_.slots_) {
      server.queue_.push_back(request);
      return;
    }
    Run(request, now);
  }

  void Run(const Request& request, Instant now) {
    const std::string id = ReplicaOf(request).entry_.id_;
    const ReplicaBehaviour& behaviour = behaviours_[id];
    ++servers_[id].busy_;
    // Log-normal service time with a median of about 15 ms (sigma 0.35); 1% of
    // the requests take five times as long.
    double work = std::lognormal_distribution<>(2.65, 0.35)(random_);
    work *= (Uniform() < 0.01 ? 5.0 : 1.0) * behaviour.slow_factor_;
    Instant end = now + std::chrono::duration_cast<Duration>(
                            std::chrono::duration<double, std::milli>(work));
    end = AfterPause(id, behaviour, now, end);
    const auto outcome = Uniform() < behaviour.failure_share_
                             ? AttemptOutcome::kFailed
                             : AttemptOutcome::kAnswered;
    Schedule(end, [this, request, id, outcome](Instant at) {
      Server& server = servers_[id];
      --server.busy_;
      Reply(request, outcome, at);
      if (!server.queue_.empty()) {
        const Request next = server.queue_.front();
        server.queue_.pop_front();
        Run(next, at);
      }
    });
  }

  // Returns the end of work after the remainder of a pause that overlaps it.
  Instant AfterPause(const std::string& id,
                     const ReplicaBehaviour& behaviour,
                     Instant begin,
                     Instant end) const {
    if (behaviour.pause_every_ <= Duration::zero()) {
      return end;
    }
    const auto every = behaviour.pause_every_;
    const Duration phase = every * static_cast<int>(Hash(id) % 100) / 100;
    const Duration offset = (begin.time_since_epoch() + phase) % every;
    if (offset < behaviour.pause_) {
      return end + (behaviour.pause_ - offset);
    }
    const bool meets = offset + (end - begin) > every;
    return meets ? end + behaviour.pause_ : end;
  }

  static size_t Hash(const std::string& text) {
    return std::hash<std::string>()(text);
  }

  void RecordResult(const Query& query, Instant now) {
    const Duration took = now - query.started_;
    const bool in_time = took <= route_->objective_;
    if (query.outcome_ == QueryOutcome::kComplete && in_time) {
      ++result_.complete_in_time_;
    }
    if (query.outcome_ == QueryOutcome::kComplete ||
        query.outcome_ == QueryOutcome::kPartial) {
      result_.answered_in_time_ += in_time ? 1 : 0;
    } else if (query.outcome_ == QueryOutcome::kRefused) {
      ++result_.refused_;
      result_.longest_refusal_ = std::max(result_.longest_refusal_, took);
    } else {
      ++result_.failed_;
    }
  }

  const RouteRule* route_;
  std::mt19937_64 random_;
  double interval_;
  Instant end_{};
  std::map<std::pair<Instant, uint64_t>, std::function<void(Instant)>> events_;
  std::map<std::string, Server> servers_;
  LoadResult result_;
  uint64_t next_event_id_ = 0;
};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TESTS_TRAFFIC_LOAD_MODEL_H_
