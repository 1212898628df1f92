#ifndef CLEMENTINERILL_DAEMON_QUERY_ENGINE_H_
#define CLEMENTINERILL_DAEMON_QUERY_ENGINE_H_

#include <functional>

#include "daemon/admission_control.h"
#include "daemon/attempt_runner.h"
#include "daemon/daemon_metrics.h"
#include "daemon/dispatcher.h"
#include "daemon/query_request.h"
#include "daemon/query_trace.h"
#include "sweep/query_answer.h"

namespace clementinerill {

/// @brief Shared components that queries use; they outlive every query.
struct QueryContext {
  Dispatcher& dispatcher_;
  AttemptRunner& runner_;
  AdmissionControl& admission_;
  DaemonMetrics& metrics_;
};

/// @brief Passes a query through admission control and runs it to completion
/// on the calling thread.
///
/// @param caller_gone Polled at least every 20 ms; true cancels the query.
/// @param trace The attempts of the query are appended here.
[[nodiscard]] QueryAnswer RunQuery(const QueryContext& context,
                                   const QueryRequest& request,
                                   const std::function<bool()>& caller_gone,
                                   QueryTrace& trace);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_QUERY_ENGINE_H_
