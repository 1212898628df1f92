#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "property.h"
#include "warmup/replica_warmup.h"

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

constexpr Duration kPropagationDelay = milliseconds(500);
constexpr Duration kDeadline = milliseconds(2000);

struct InFlightRequest {
  int seat_;
  int holder_;
  DispatchTicket ticket_;
  Instant sent_;
};

struct Advisory {
  int seat_;
  uint64_t generation_;
  bool active_;
  Instant arrives_at_;
};

// Models three seats that share one replica. Requests end within their
// deadline, advisories arrive within the propagation delay, and a seat may move
// to another daemon.
class SharedReplica {
 public:
  explicit SharedReplica(int slots)
      : seats_(3), holders_(3), dispatch_not_before_(3) {
    for (int seat = 0; seat < 3; ++seat) {
      const int share = slots / 3 + (seat < slots % 3 ? 1 : 0);
      limits_.push_back(
          {slots, share, kPropagationDelay + kDeadline, kDeadline});
    }
  }

  void Step(int kind, int seat, int detail) {
    if (kind < 9) {
      Send(seat);
    } else if (kind < 12) {
      Finish(seat, detail);
    } else if (kind < 15) {
      Advance(milliseconds(detail / 4));
    } else if (kind == 15 && detail < 20) {
      SendAdvisories(seat, MarkCold(seats_[seat], limits_[seat],
                                    ColdReason::kDomainReturned, now_));
    } else if (kind == 16 && detail < 6) {
      TransferSeat(seat);
    }
  }

 private:
  void Send(int seat) {
    const auto role = seat == 0 ? SeatRole::kWarmup : SeatRole::kOther;
    ReplicaWarmup& replica = seats_[seat];
    const int limit = CurrentLimit(replica, limits_[seat], role, now_);
    if (now_ < dispatch_not_before_[seat]) {
      return;
    }
    const auto ticket = StartRequest(replica, limits_[seat], role, now_);
    RC_ASSERT(ticket || replica.in_flight_ >= limit);
    if (!ticket) {
      return;
    }
    in_flight_requests_.push_back({seat, holders_[seat], *ticket, now_});
    RC_ASSERT(replica.in_flight_ <= limit);
    RC_ASSERT(static_cast<int>(in_flight_requests_.size()) <=
              limits_[0].slots_);
    if (replica.phase_ == WarmupPhase::kCold) {
      RC_ASSERT(seat == 0);
      RC_ASSERT(now_ < replica.exclusive_from_ ||
                static_cast<int>(in_flight_requests_.size()) <= limit);
    }
  }

  // Finishes the newest request of the seat first, and requests of seat 0 more
  // often, so that the ramp rises while older requests are still in flight.
  void Finish(int seat, int detail) {
    const auto newest =
        std::find_if(in_flight_requests_.rbegin(), in_flight_requests_.rend(),
                     [seat](const InFlightRequest& request) {
                       return request.seat_ == seat;
                     });
    if (newest == in_flight_requests_.rend() || (seat > 0 && detail % 8 > 0)) {
      return;
    }
    const auto at = newest.base() - 1;
    ResponseSignals signals;
    signals.outcome_ =
        detail == 1 ? RequestOutcome::kShed : RequestOutcome::kAnswered;
    signals.process_id_ = std::to_string(process_);
    if (detail == 2) {
      signals.cold_limit_ = 1 + process_ % 3;
    }
    if (detail == 3) {
      signals.process_id_ = std::to_string(++process_);
    }
    signals.latency_ = milliseconds(detail == 4 ? 9000 : 5);
    End(at, signals);
  }

  void End(std::vector<InFlightRequest>::iterator at,
           const ResponseSignals& signals) {
    const InFlightRequest done = *at;
    in_flight_requests_.erase(at);
    if (done.holder_ == holders_[done.seat_]) {
      SendAdvisories(done.seat_,
                     FinishRequest(seats_[done.seat_], limits_[done.seat_],
                                   done.ticket_, signals, {}, now_));
    }
  }

  void SendAdvisories(int seat, bool changed) {
    for (int other = 0; changed && other < 3; ++other) {
      advisories_.push_back(
          {other, seats_[seat].generation_,
           seats_[seat].phase_ != WarmupPhase::kWarm,
           now_ + kPropagationDelay * (1 + (seat + other) % 3) / 3});
    }
  }

  void Advance(Duration step) {
    const Instant end = now_ + step;
    for (; now_ <= end; now_ += milliseconds(10)) {
      while (!in_flight_requests_.empty() &&
             in_flight_requests_[0].sent_ + kDeadline <= now_) {
        End(in_flight_requests_.begin(), {});
      }
      for (const auto& advisory : advisories_) {
        if (advisory.arrives_at_ <= now_ &&
            advisory.arrives_at_ > now_ - milliseconds(10)) {
          ApplyColdAdvisory(seats_[advisory.seat_], limits_[advisory.seat_],
                            advisory.generation_, advisory.active_, now_);
        }
      }
    }
  }

  // The new holder starts with the state known to another daemon; the digests
  // in heartbeats deliver the newest advisory within the propagation delay.
  void TransferSeat(int seat) {
    for (const auto& replica : seats_) {
      advisories_.push_back({seat, replica.generation_,
                             replica.phase_ != WarmupPhase::kWarm,
                             now_ + kPropagationDelay});
    }
    const ReplicaWarmup& known = seats_[(seat + 1) % 3];
    ReplicaWarmup fresh;
    if (known.phase_ != WarmupPhase::kWarm) {
      fresh = MakeColdReplica(ColdReason::kAdvisory, now_);
    }
    fresh.generation_ = known.generation_;
    seats_[seat] = fresh;
    ++holders_[seat];
    dispatch_not_before_[seat] = now_ + kPropagationDelay + kDeadline;
    if (seat == 0) {
      TakeOverWarmupSeat(seats_[0], limits_[0], now_);
    }
  }

  std::vector<ReplicaWarmup> seats_;
  std::vector<int> holders_;
  std::vector<Instant> dispatch_not_before_;
  std::vector<WarmupLimits> limits_;
  std::vector<InFlightRequest> in_flight_requests_;
  std::vector<Advisory> advisories_;
  Instant now_{std::chrono::seconds(1000)};
  int process_ = 0;
};

// Guards against an order of responses, advisories, seat transfers and timeouts
// in which a cold replica has more requests in flight than its limit, or more
// than its slots while requests sent before it was marked cold still run.
TEST_CASE("in-flight requests stay within limit and slots", "[warmup]") {
  CheckProperty(20261204, 300, [] {
    SharedReplica model(*rc::gen::inRange(1, 9));
    const auto events = *rc::gen::container<std::vector<std::vector<int>>>(
        4000, rc::gen::container<std::vector<int>>(
                  3, rc::gen::inRange(0, 17 * 3 * 400)));
    for (const auto& event : events) {
      model.Step(event[0] % 17, event[1] % 3, event[2] % 400);
    }
  });
}

}  // namespace
}  // namespace clementinerill
