#include "daemon/explain_recorder.h"

#include <utility>

#include "explain/explain_json.h"

namespace clementinerill {
namespace {

constexpr size_t kMaxNotable = 100;

}  // namespace

void ExplainRecorder::Add(const std::string& route,
                          const QueryAnswer& answer,
                          QueryTrace trace,
                          Instant now) {
  ExplainedQuery query;
  query.request_id_ = answer.request_id_;
  query.route_ = route;
  query.received_ = trace.received_;
  query.duration_ = now - trace.received_;
  query.outcome_ = NameOf(kOutcomeNames, answer.outcome_);
  if (answer.outcome_ != Outcome::kComplete) {
    query.reason_ = NameOf(kReasonNames, answer.reason_);
  }
  query.coverage_ = answer.coverage_;
  query.parts_ = std::move(trace.parts_);
  const std::lock_guard lock(mutex_);
  log_.Add(std::move(query));
}

std::optional<std::string> ExplainRecorder::FindJson(
    const std::string& request_id,
    Instant now) const {
  const std::lock_guard lock(mutex_);
  const auto found = log_.Find(request_id);
  if (found.empty()) {
    return std::nullopt;
  }
  return ToJsonText(found, now, ExplainDetail::kFull);
}

std::string ExplainRecorder::NotableJson(Instant now) const {
  const std::lock_guard lock(mutex_);
  return ToJsonText(log_.NewestNotable(kMaxNotable), now,
                    ExplainDetail::kSummary);
}

}  // namespace clementinerill
