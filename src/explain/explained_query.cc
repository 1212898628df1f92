#include "explain/explained_query.h"

namespace clementinerill {
namespace {

size_t TextBytes(const std::string& text) noexcept {
  return text.capacity() + 1;
}

size_t BytesOfAttempts(const std::vector<ExplainedAttempt>& attempts) noexcept {
  size_t bytes = attempts.capacity() * sizeof(ExplainedAttempt);
  for (const ExplainedAttempt& attempt : attempts) {
    bytes += TextBytes(attempt.replica_);
    bytes += TextBytes(attempt.result_);
    bytes += TextBytes(attempt.trigger_);
    bytes += TextBytes(attempt.reason_);
  }
  return bytes;
}

}  // namespace

size_t BytesOf(const ExplainedQuery& query) noexcept {
  size_t bytes = sizeof(ExplainedQuery);
  bytes += TextBytes(query.request_id_);
  bytes += TextBytes(query.route_);
  bytes += TextBytes(query.outcome_);
  bytes += TextBytes(query.reason_);
  bytes += query.parts_.capacity() * sizeof(ExplainedPart);
  for (const ExplainedPart& part : query.parts_) {
    bytes += TextBytes(part.service_);
    bytes += BytesOfAttempts(part.attempts_);
  }
  return bytes;
}

}  // namespace clementinerill
