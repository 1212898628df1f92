#include "daemon/query_engine.h"

#include "daemon/query_run.h"

namespace clementinerill {
namespace {

Instant Now() noexcept {
  return std::chrono::steady_clock::now();
}

Reason ReasonOf(RefusalReason refusal) noexcept {
  switch (refusal) {
    case RefusalReason::kDeadlineUnreachable:
    case RefusalReason::kExpired:
      return Reason::kDeadlineUnreachable;
    case RefusalReason::kDraining:
      return Reason::kDraining;
    case RefusalReason::kNoSeat:
    case RefusalReason::kNoMajority:
      return Reason::kNoSeat;
    default:
      return Reason::kOverloaded;
  }
}

QueryCompletion CompletionOf(const QueryAnswer& answer,
                             Instant deadline) noexcept {
  switch (answer.outcome_) {
    case Outcome::kComplete:
      return Now() <= deadline ? QueryCompletion::kDeadlineMet
                               : QueryCompletion::kDeadlineMissed;
    case Outcome::kRefused:
      return QueryCompletion::kNotRun;
    default:
      return QueryCompletion::kDeadlineMissed;
  }
}

}  // namespace

QueryAnswer RunQuery(const QueryContext& context,
                     const QueryRequest& request,
                     const std::function<bool()>& caller_gone,
                     QueryTrace& trace) {
  const auto admission = context.admission_.Of(request.route_.pool_);
  const auto entered =
      admission->Enter(request.route_.kind_, request.deadline_, caller_gone);
  if (!entered) {
    context.metrics_.refusals_.Increment(entered.error());
    return RefusedAnswer(request.request_id_, ReasonOf(entered.error()));
  }
  const Instant started = Now();
  QueryRun run(request, context, *admission);
  QueryAnswer answer = run.Run(caller_gone, trace);
  admission->Leave(CompletionOf(answer, request.deadline_), Now() - started);
  return answer;
}

}  // namespace clementinerill
