#include "daemon/query_engine.h"

#include "daemon/query_run.h"

namespace clementinerill {

QueryEngine::QueryEngine(Dispatcher& dispatcher, AttemptRunner& runner)
    : dispatcher_(dispatcher), runner_(runner) {}

QueryAnswer QueryEngine::Run(const QueryRequest& request,
                             const std::function<bool()>& caller_gone) {
  QueryRun run(request, dispatcher_, runner_);
  return run.Run(caller_gone);
}

}  // namespace clementinerill
