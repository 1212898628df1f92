#include "daemon/query_trace.h"

#include <algorithm>
#include <string>

namespace clementinerill {
namespace {

ExplainedPart& FindOrAddPart(QueryTrace& trace, const std::string& service) {
  const auto found = std::find_if(
      trace.parts_.begin(), trace.parts_.end(),
      [&service](const ExplainedPart& p) { return p.service_ == service; });
  if (found != trace.parts_.end()) {
    return *found;
  }
  trace.parts_.push_back(ExplainedPart{service, {}});
  return trace.parts_.back();
}

// Why a hedge or retry was sent: `slow`, or the result of the previous attempt
// of the part.
std::string ReasonOf(const Attempt& attempt, const ExplainedPart& part) {
  if (attempt.kind_ == AttemptKind::kHedge) {
    return "slow";
  }
  if (attempt.kind_ == AttemptKind::kRetry && !part.attempts_.empty()) {
    return part.attempts_.back().result_;
  }
  return "";
}

std::string ResultOf(const Attempt& attempt) {
  const bool running = attempt.result_ == AttemptResult::kRunning;
  return running && attempt.cancel_requested_
             ? "cancel_requested"
             : std::string(NameOf(kAttemptResultNames, attempt.result_));
}

}  // namespace

void TraceAttempts(const QueryState& query, QueryTrace& trace) {
  for (const Part& part : query.parts_) {
    ExplainedPart& explained = FindOrAddPart(trace, part.service_);
    for (const Attempt& attempt : part.attempts_) {
      ExplainedAttempt entry;
      entry.replica_ = attempt.upstream_;
      entry.start_offset_ = attempt.started_ - trace.received_;
      if (attempt.result_ != AttemptResult::kRunning) {
        entry.duration_ = attempt.ended_ - attempt.started_;
      }
      entry.result_ = ResultOf(attempt);
      entry.trigger_ = NameOf(kAttemptKindNames, attempt.kind_);
      entry.reason_ = ReasonOf(attempt, explained);
      explained.attempts_.push_back(std::move(entry));
    }
  }
}

}  // namespace clementinerill
