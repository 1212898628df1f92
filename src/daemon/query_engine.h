#ifndef CLEMENTINERILL_DAEMON_QUERY_ENGINE_H_
#define CLEMENTINERILL_DAEMON_QUERY_ENGINE_H_

#include <functional>
#include <memory>

#include "daemon/attempt_runner.h"
#include "daemon/dispatcher.h"
#include "daemon/query_request.h"
#include "sweep/query_answer.h"

namespace clementinerill {

/// @brief Runs queries against the upstreams that this daemon may send to.
class QueryEngine {
 public:
  QueryEngine(Dispatcher& dispatcher, AttemptRunner& runner);

  /// @brief Runs one query to its answer on the calling thread.
  /// @param caller_gone Polled at least every 20 ms; true cancels the query.
  [[nodiscard]] QueryAnswer Run(const QueryRequest& request,
                                const std::function<bool()>& caller_gone);

 private:
  Dispatcher& dispatcher_;
  AttemptRunner& runner_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_QUERY_ENGINE_H_
