#include "gateway/caller_answer.h"

#include <algorithm>
#include <cstdio>
#include <string_view>
#include <vector>

#include "base/hash.h"
#include "traffic/merge_records.h"

namespace clementinerill::gateway {
namespace {

using traffic::Query;
using traffic::QueryOutcome;
using traffic::QueryPart;
using traffic::ReplicaResponse;

// Callers honour a pause of at most a third of the time they have left; a
// tenth leaves time to serve the request that comes back.
constexpr double kRetryAfterShare = 0.1;
// Bounds of the pause: shorter ones return into the same overload, longer
// ones miss the latency objective.
constexpr double kLeastRetryAfterS = 0.02;
constexpr double kMostRetryAfterS = 0.3;

http::HttpResponse SweepAnswer(const Query& query, const WireNames& names) {
  std::vector<std::string_view> bodies;
  std::string signatures;
  for (const QueryPart& part : query.parts_) {
    if (part.state_ != traffic::PartState::kAnswered) {
      continue;
    }
    bodies.push_back(part.response_.body_);
    signatures.append(signatures.empty() ? "" : ", ");
    signatures.append(part.response_.signature_);
  }
  const size_t missing = query.parts_.size() - bodies.size();
  http::HttpResponse answer;
  answer.status_ = 200;
  answer.headers_.emplace_back(names.part_signatures_, std::move(signatures));
  answer.headers_.emplace_back(names.missing_parts_, std::to_string(missing));
  answer.body_ = traffic::MergeRecords(
      bodies, static_cast<size_t>(std::max(query.route_->record_limit_, 0)));
  return answer;
}

http::HttpResponse Relay(const ReplicaResponse& replica) {
  http::HttpResponse answer;
  answer.status_ = replica.status_;
  answer.headers_ = replica.headers_;
  answer.body_ = replica.body_;
  return answer;
}

// Statuses that promise that a request has not run.
bool PromisesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

http::HttpResponse FailureAnswer(const Query& query) {
  const ReplicaResponse& failure = query.parts_.front().failed_response_;
  if (!IsFanOut(*query.route_) && failure.status_ != 0 &&
      !PromisesNotRun(failure.status_)) {
    return Relay(failure);
  }
  http::HttpResponse answer;
  answer.status_ = 502;
  return answer;
}

double RetryAfter(const Query& query, Instant now) {
  const double left =
      std::chrono::duration<double>(query.deadline_ - now).count();
  // Spread by the id, so that callers refused together return apart.
  const double spread =
      0.5 + static_cast<double>(Hash64(query.id_) % 1000) / 1000.0;
  return std::clamp(left * kRetryAfterShare * spread, kLeastRetryAfterS,
                    kMostRetryAfterS);
}

}  // namespace

http::HttpResponse RefusalAnswer(double retry_after_s) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", retry_after_s);
  http::HttpResponse answer;
  answer.status_ = 503;
  answer.headers_.emplace_back("Retry-After", text.data());
  return answer;
}

http::HttpResponse AnswerOf(const Query& query,
                            const WireNames& names,
                            Instant now) {
  switch (query.outcome_) {
    case QueryOutcome::kComplete:
    case QueryOutcome::kPartial:
      return IsFanOut(*query.route_) ? SweepAnswer(query, names)
                                     : Relay(query.parts_.front().response_);
    case QueryOutcome::kRefused:
      return RefusalAnswer(RetryAfter(query, now));
    case QueryOutcome::kTimedOut: {
      http::HttpResponse answer;
      answer.status_ = 504;
      return answer;
    }
    case QueryOutcome::kFailed:
    case QueryOutcome::kOpen:
    case QueryOutcome::kDisconnected:
      break;
  }
  return FailureAnswer(query);
}

}  // namespace clementinerill::gateway
