#include "daemon/forward_query.h"

#include <algorithm>

#include "base/hash.h"
#include "daemon/query_answer_json.h"

namespace clementinerill {
namespace {

Instant Now() noexcept {
  return std::chrono::steady_clock::now();
}

Forward MakeForward(const QueryRequest& request, const std::string& body) {
  Forward forward;
  forward.request_id_ = request.request_id_;
  forward.route_ = request.route_.name_;
  forward.body_ = body;
  forward.idempotency_key_ = request.idempotency_key_;
  forward.deadline_ms_ = static_cast<uint32_t>(
      std::max<int64_t>(1, ToMilliseconds(request.deadline_ - Now())));
  forward.hops_ = 1;
  return forward;
}

// For an idempotent query, half of the remaining time is reserved for another
// peer: the connections of a frozen daemon stay open for seconds.
Instant ForwardDeadline(const QueryRequest& request, size_t targets) {
  const bool may_repeat = IsIdempotent(request.route_.kind_) && targets > 1;
  const Instant now = Now();
  return may_repeat ? now + (request.deadline_ - now) / 2 : request.deadline_;
}

// Another peer may serve the query when this one lacks a seat, a configuration
// or the route.
bool MayRetryOnNextPeer(const QueryAnswer& answer) noexcept {
  return answer.outcome_ == Outcome::kRefused &&
         (answer.reason_ == Reason::kNoSeat ||
          answer.reason_ == Reason::kNoConfiguration ||
          answer.reason_ == Reason::kUnknownRoute);
}

// Moves peers with a recent unanswered forward to the end.
std::vector<std::string> SuspectsLast(Forwarder& forwarder,
                                      std::vector<std::string> targets) {
  const Instant now = Now();
  std::stable_partition(targets.begin(), targets.end(),
                        [&forwarder, now](const std::string& target) {
                          return !forwarder.IsSuspect(target, now);
                        });
  return targets;
}

}  // namespace

std::string KeyHolder(const QueryRequest& request, const PoolSeats& seats) {
  if (seats.holders_.empty()) {
    return {};
  }
  return seats
      .holders_[Hash64(request.idempotency_key_) % seats.holders_.size()];
}

std::vector<std::string> ForwardTargets(const QueryRequest& request,
                                        const PoolSeats& seats,
                                        const std::string& self) {
  if (!request.idempotency_key_.empty()) {
    const std::string holder = KeyHolder(request, seats);
    return holder.empty() || holder == self ? std::vector<std::string>()
                                            : std::vector<std::string>{holder};
  }
  std::vector<std::string> targets;
  const size_t count = seats.holders_.size();
  const size_t first = Hash64(request.request_id_);
  for (size_t i = 0; i < count; ++i) {
    const std::string& holder = seats.holders_[(first + i) % count];
    const bool known =
        std::find(targets.begin(), targets.end(), holder) != targets.end();
    if (!holder.empty() && holder != self && !known) {
      targets.push_back(holder);
    }
  }
  return targets;
}

QueryAnswer ForwardQuery(Forwarder& forwarder,
                         const QueryRequest& request,
                         const std::string& body,
                         const std::vector<std::string>& targets,
                         const std::function<bool()>& caller_gone) {
  QueryAnswer last = RefusedAnswer(request.request_id_, Reason::kNoSeat);
  bool may_have_run = false;
  for (const std::string& target : SuspectsLast(forwarder, targets)) {
    ForwardResult result =
        forwarder.Run(target, MakeForward(request, body),
                      ForwardDeadline(request, targets.size()), caller_gone);
    if (result.status_ == ForwardStatus::kAnswered) {
      if (auto answer = ParseQueryAnswer(result.body_)) {
        if (!MayRetryOnNextPeer(*answer)) {
          return *answer;
        }
        last = *answer;
        continue;
      }
    }
    if (result.status_ == ForwardStatus::kNotSent) {
      continue;
    }
    may_have_run = true;
    last.reason_ = Reason::kForwardFailed;
    if (!IsIdempotent(request.route_.kind_) || Now() >= request.deadline_ ||
        caller_gone()) {
      break;
    }
  }
  last.request_id_ = request.request_id_;
  last.outcome_ = may_have_run ? Outcome::kUnknown : Outcome::kRefused;
  return last;
}

}  // namespace clementinerill
