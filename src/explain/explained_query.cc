#include "explain/explained_query.h"

namespace clementinerill {
namespace {

size_t BytesOfString(const std::string& text) noexcept {
  return text.capacity() + 1;
}

size_t BytesOfAttempts(const std::vector<ExplainedAttempt>& attempts) noexcept {
  size_t bytes = attempts.capacity() * sizeof(ExplainedAttempt);
  for (const ExplainedAttempt& attempt : attempts) {
    bytes += BytesOfString(attempt.replica_);
    bytes += BytesOfString(attempt.result_);
    bytes += BytesOfString(attempt.trigger_);
    bytes += BytesOfString(attempt.reason_);
  }
  return bytes;
}

}  // namespace

size_t BytesOf(const ExplainedQuery& query) noexcept {
  size_t bytes = sizeof(ExplainedQuery);
  bytes += BytesOfString(query.request_id_);
  bytes += BytesOfString(query.route_);
  bytes += BytesOfString(query.outcome_);
  bytes += BytesOfString(query.reason_);
  bytes += query.parts_.capacity() * sizeof(ExplainedPart);
  for (const ExplainedPart& part : query.parts_) {
    bytes += BytesOfString(part.service_);
    bytes += BytesOfAttempts(part.attempts_);
  }
  return bytes;
}

}  // namespace clementinerill
