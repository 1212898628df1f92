#ifndef CLEMENTINERILL_TESTS_CAPACITY_CAPACITY_MODEL_H_
#define CLEMENTINERILL_TESTS_CAPACITY_CAPACITY_MODEL_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "capacity/capacity.h"
#include "traffic/fleet_fixture.h"

namespace clementinerill::capacity {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Simulated behaviour of one replica. All functions take the time since the
/// start.
struct Server {
  int slots_ = 8;
  double knee_ = 8;  ///< Requests in progress from which it slows down.
  size_t queue_limit_ = 40;
  std::function<double(Duration)> slow_factor_ = [](Duration) { return 1.0; };
  std::function<double(Duration)> pace_ = [](Duration) { return 1.0; };
  std::function<bool(Duration)> is_paused_ = [](Duration) { return false; };
};

/// Returns a function that is true for `length` every `interval`, from `phase`.
inline std::function<bool(Duration)> Repeat(Duration length,
                                            Duration interval,
                                            Duration phase = {}) {
  return [=](Duration time) { return (time + phase) % interval < length; };
}

struct ModelSettings {
  std::vector<Server> servers_ = std::vector<Server>(3);
  int daemons_ = 6;
  double requests_per_s_ = 900;  ///< Of all daemons.
  Duration objective_ = milliseconds(50);
  Duration length_ = seconds(20);
  bool reports_pace_ = true;  ///< Without it the estimate is not used.
  bool learns_ = true;
  bool shares_ = false;  ///< Whether daemons share estimates twice a second.
  uint64_t seed_ = 1;
};

struct ModelResult {
  int requests_ = 0;
  int in_time_ = 0;
  std::vector<std::vector<int>> by_second_;  ///< Requests of each server.
  std::vector<std::unique_ptr<traffic::Fleet>> daemons_;

  [[nodiscard]] double InTime() const {
    return static_cast<double>(in_time_) / requests_;
  }
  [[nodiscard]] const Estimate& EstimateOf(size_t daemon, size_t server) const {
    return daemons_[daemon]->Replica("docket", server).estimate_;
  }
};

/// Simulates daemons that send single requests to the replicas of one service
/// in steps of half a millisecond, with the production decision code and
/// without a network. Requests in progress share a replica from its knee on.
class CapacityModel {
 public:
  explicit CapacityModel(ModelSettings settings)
      : settings_(std::move(settings)),
        random_(settings_.seed_),
        states_(settings_.servers_.size()) {
    traffic::RouteRule route =
        traffic::MakeSingleRoute(traffic::RequestKind::kIdempotent);
    route.objective_ = settings_.objective_;
    route.timeout_ = milliseconds(1200);
    for (int i = 0; i < settings_.daemons_; ++i) {
      auto fleet = std::make_unique<traffic::Fleet>(
          std::vector<traffic::RouteRule>{route}, settings_.daemons_);
      fleet->state_.limits_.learns_capacity_ = settings_.learns_;
      fleet->state_.name_ = "vm-" + std::to_string(i);
      fleet->state_.failure_domain_ =
          std::string(1, static_cast<char>('a' + i % 3));
      for (size_t server = 0; server < states_.size(); ++server) {
        fleet->Replica("docket", server).entry_.slots_ =
            settings_.servers_[server].slots_;
      }
      result_.daemons_.push_back(std::move(fleet));
    }
    result_.by_second_.assign(
        static_cast<size_t>(settings_.length_ / seconds(1)) + 2,
        std::vector<int>(states_.size()));
  }

  ModelResult Run() {
    for (now_ = {}; now_ < settings_.length_; now_ += kStep) {
      if (settings_.shares_ && now_ % milliseconds(500) == Duration::zero()) {
        ShareAll();
      }
      Arrive();
      for (size_t server = 0; server < states_.size(); ++server) {
        Serve(server);
      }
      for (size_t i = 0; i < open_.size();) {
        const auto query = open_[i];
        if (query->query_.wake_at_ <= Now()) {
          Step(query);
        }
        if (IsOpen(*query)) {
          ++i;
        } else {
          open_[i] = open_.back();
          open_.pop_back();
        }
      }
    }
    return std::move(result_);
  }

 private:
  static constexpr Duration kStep = microseconds(500);

  struct OpenQuery {
    traffic::Fleet* daemon_;
    traffic::Query query_;
  };
  struct Request {
    std::shared_ptr<OpenQuery> query_;
    traffic::SendAction action_;
    double work_ms_ = 0;  ///< That is left.
  };
  struct ServerState {
    std::vector<Request> running_;
    std::deque<Request> queue_;
  };

  [[nodiscard]] Instant Now() const { return traffic::At(now_); }

  static bool IsOpen(const OpenQuery& query) {
    return query.query_.outcome_ == traffic::QueryOutcome::kOpen;
  }

  void ShareAll() {
    FleetEstimates all;
    for (const auto& daemon : result_.daemons_) {
      RecordShared(all, daemon->state_.name_,
                   ShareEstimates(daemon->state_, Now()), true, Now());
    }
    const auto merged = MergeShared(all, false, Now());
    for (const auto& daemon : result_.daemons_) {
      ApplySharedEstimates(daemon->state_, merged, Now());
    }
  }

  void Arrive() {
    const double mean = settings_.requests_per_s_ *
                        std::chrono::duration<double>(kStep).count();
    const int count = std::poisson_distribution<>(mean)(random_);
    for (int i = 0; i < count; ++i) {
      traffic::Fleet& daemon =
          *result_.daemons_[random_() % result_.daemons_.size()];
      auto query = std::make_shared<OpenQuery>();
      query->daemon_ = &daemon;
      query->query_ = traffic::StartQuery(
          daemon.state_, daemon.Route("docket.example", "/case/"),
          std::to_string(result_.requests_++), milliseconds(1200), Now());
      open_.push_back(query);
      Step(query);
    }
  }

  void Step(const std::shared_ptr<OpenQuery>& query) {
    if (!IsOpen(*query)) {
      return;
    }
    for (const traffic::SendAction& action :
         Advance(query->daemon_->state_, query->query_, Now())) {
      // Log-normal work with a median of 15 ms; 1% take five times as long.
      double work = std::lognormal_distribution<>(2.7, 0.35)(random_);
      work *= random_() % 100 == 0 ? 5 : 1;
      Deliver({query, action, work});
    }
    if (query->query_.outcome_ == traffic::QueryOutcome::kComplete &&
        Now() - query->query_.started_ <= settings_.objective_) {
      ++result_.in_time_;
    }
  }

  static traffic::ReplicaState& ReplicaOf(const Request& request) {
    return *request.query_->query_.parts_[request.action_.part_]
                .attempts_[request.action_.attempt_]
                .replica_;
  }

  void Deliver(Request request) {
    const auto& id = ReplicaOf(request).entry_.id_;
    const auto server = static_cast<size_t>(id.back() - 'a');
    ++result_.by_second_[static_cast<size_t>(now_ / seconds(1))][server];
    if (states_[server].queue_.size() >=
        settings_.servers_[server].queue_limit_) {
      Reply(server, request, traffic::AttemptOutcome::kShed);
      return;
    }
    states_[server].queue_.push_back(std::move(request));
  }

  void Serve(size_t index) {
    const Server& server = settings_.servers_[index];
    ServerState& state = states_[index];
    while (!state.queue_.empty() &&
           state.running_.size() < static_cast<size_t>(server.slots_)) {
      state.running_.push_back(std::move(state.queue_.front()));
      state.queue_.pop_front();
    }
    if (server.is_paused_(now_)) {
      return;
    }
    const double load = std::max(
        1.0, static_cast<double>(state.running_.size()) / server.knee_);
    const double progress = ToFractionalMilliseconds(kStep) / load /
                            server.slow_factor_(now_) / server.pace_(now_);
    std::vector<Request> done;
    for (size_t i = 0; i < state.running_.size();) {
      Request& request = state.running_[i];
      request.work_ms_ -= progress;
      if (request.work_ms_ > 0) {
        ++i;
        continue;
      }
      done.push_back(std::move(request));
      state.running_.erase(state.running_.begin() + static_cast<long>(i));
    }
    for (const Request& request : done) {
      Reply(index, request, traffic::AttemptOutcome::kAnswered);
    }
  }

  void Reply(size_t index,
             const Request& request,
             traffic::AttemptOutcome outcome) {
    const Server& server = settings_.servers_[index];
    const ServerState& state = states_[index];
    traffic::ReplicaReport report;
    report.load_ = traffic::ReportedLoad{
        static_cast<int>(state.running_.size()) + 1,
        static_cast<int>(state.queue_.size()), server.slots_};
    if (settings_.reports_pace_) {
      report.load_->pace_ =
          static_cast<int>(std::lround(100 * server.pace_(now_)));
    }
    traffic::FleetState& fleet = request.query_->daemon_->state_;
    RecordReport(fleet, ReplicaOf(request), report, Now());
    RecordAttemptOutcome(fleet, request.query_->query_, request.action_,
                         outcome, {}, Now());
    Step(request.query_);
  }

  ModelSettings settings_;
  std::mt19937_64 random_;
  std::vector<ServerState> states_;
  std::vector<std::shared_ptr<OpenQuery>> open_;
  Duration now_{};
  ModelResult result_;
};

}  // namespace clementinerill::capacity

#endif  // CLEMENTINERILL_TESTS_CAPACITY_CAPACITY_MODEL_H_
