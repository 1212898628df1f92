#include "gateway/query_log.h"

#include <string>

#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using traffic::Attempt;
using traffic::PartState;
using traffic::Query;
using traffic::QueryOutcome;
using traffic::QueryPart;

// Log lines per second. Queries that completed in time need no explanation, so
// a sample is enough. The limit of the others keeps the cost of logging below
// about 1% of a core.
constexpr LogRateLimit kCompleteLineRate{20, std::chrono::seconds(1)};
constexpr LogRateLimit kOtherLineRate{200, std::chrono::seconds(1)};

bool IsLate(const Query& query, Instant now) {
  return now - query.started_ > query.route_->objective_;
}

std::string AttemptText(const Attempt& attempt, Instant now) {
  std::string text = attempt.replica_->entry_.id_;
  text += attempt.is_hedge_ ? "+" : ":";
  if (attempt.is_open_) {
    text += "open:" + std::to_string(ToMilliseconds(now - attempt.sent_));
    return text;
  }
  text += NameOf(traffic::kAttemptOutcomeNames, attempt.outcome_);
  text += ":" + std::to_string(ToMilliseconds(attempt.duration_));
  return text;
}

// The parts that were not answered in time by their first attempt, as
// service[replica:outcome:ms,...]; "+" instead of the first ":" marks a hedge.
std::string PartsText(const Query& query, Instant now) {
  std::string text;
  for (const QueryPart& part : query.parts_) {
    const bool is_routine =
        part.is_delegated_ ||
        (part.attempts_.size() == 1 &&
         part.attempts_.front().duration_ < query.route_->objective_);
    if (part.state_ == PartState::kAnswered && is_routine) {
      continue;
    }
    text += text.empty() ? "" : " ";
    text += part.service_ ? part.service_->name_ : "unknown-service";
    text += "[";
    for (const Attempt& attempt : part.attempts_) {
      text += (&attempt == &part.attempts_.front()) ? "" : ",";
      text += AttemptText(attempt, now);
    }
    text += "]";
    if (part.state_ == PartState::kFailed) {
      text += NameOf(traffic::kPartFailureReasonNames, part.failure_reason_);
    } else if (part.state_ == PartState::kSkipped) {
      text += "skipped";
    }
  }
  return text;
}

int CountExtraAttempts(const Query& query) {
  int extras = 0;
  for (const QueryPart& part : query.parts_) {
    extras += part.attempts_.empty()
                  ? 0
                  : static_cast<int>(part.attempts_.size()) - 1;
  }
  return extras;
}

}  // namespace

void LogQueryEnd(const Query& query, int status, Instant now) {
  static RateLimitedLogger complete_lines(kCompleteLineRate);
  static RateLimitedLogger other_lines(kOtherLineRate);
  const bool is_routine =
      query.outcome_ == QueryOutcome::kComplete && !IsLate(query, now);
  LogFields fields = {
      {"id", query.id_},
      {"route", query.route_->name_},
      {"outcome", NameOf(traffic::kQueryOutcomeNames, query.outcome_)},
      {"status", status},
      {"took_ms", now - query.started_},
      {"answered", CountParts(query, PartState::kAnswered)},
      {"parts", query.parts_.size()},
      {"extra", CountExtraAttempts(query)},
      {"version", query.view_->configuration_->version_}};
  if (!query.organisation_.empty()) {
    fields.emplace_back("organisation", query.organisation_);
  }
  if (query.access_refusal_) {
    fields.emplace_back("access", NameOf(organisations::kAccessRefusalNames,
                                         *query.access_refusal_));
  }
  if (!query.delegations_.empty()) {
    fields.emplace_back("delegations", query.delegations_.size());
  }
  if (query.is_forwarded_) {
    fields.emplace_back("forwarded", true);
  }
  if (!is_routine) {
    fields.emplace_back("late", IsLate(query, now));
    fields.emplace_back("attempts", PartsText(query, now));
  }
  (is_routine ? complete_lines : other_lines)
      .Log(now, is_routine ? LogLevel::kInfo : LogLevel::kWarning, "query",
           "ended", fields);
}

}  // namespace clementinerill::gateway
