#include "gateway/caller_rejection.h"

#include "gateway/caller_response.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

// `Retry-After` if only this daemon cannot serve the request, because it has no
// configuration yet or is stopping. Short, as others can.
constexpr double kOtherDaemonRetryAfterS = 0.1;

}  // namespace

bool DropIfCallerLeft(SessionContext& context,
                      const std::shared_ptr<http::ServerConnection>& caller,
                      const http::HttpRequest& request) {
  if (!caller->IsPeerClosed()) {
    return false;
  }
  static RateLimitedLogger lines;
  context.metrics_.queries_.Increment(traffic::QueryOutcome::kDisconnected);
  lines.Log(
      http::EventLoop::Now(), LogLevel::kWarning, "query",
      "dropped, caller left before it was read",
      {{"id", http::FindHeader(request.headers_, context.names_.request_id_)}});
  caller->Close();
  return true;
}

void RejectUnconfigured(SessionContext& context,
                        const std::shared_ptr<http::ServerConnection>& caller,
                        const http::HttpRequest& request) {
  static RateLimitedLogger lines;
  context.metrics_.unconfigured_.Increment();
  lines.Log(
      http::EventLoop::Now(), LogLevel::kWarning, "query",
      "refused without a configuration",
      {{"id", http::FindHeader(request.headers_, context.names_.request_id_)},
       {"status", 503}});
  caller->Respond(RefusalResponse(kOtherDaemonRetryAfterS), context.draining_);
}

void RejectUnrouted(SessionContext& context,
                    const std::shared_ptr<http::ServerConnection>& caller,
                    const http::HttpRequest& request) {
  static RateLimitedLogger lines;
  context.metrics_.unrouted_.Increment();
  lines.Log(
      http::EventLoop::Now(), LogLevel::kWarning, "query", "no route",
      {{"id", http::FindHeader(request.headers_, context.names_.request_id_)},
       {"host", http::FindHeader(request.headers_, "Host")},
       {"target", request.target_},
       {"status", 404},
       {"version", context.fleet_.view_->configuration_->version_}});
  http::HttpResponse response;
  response.status_ = 404;
  caller->Respond(response, context.draining_);
}

void RejectStopping(SessionContext& context,
                    const std::shared_ptr<http::ServerConnection>& caller,
                    const http::HttpRequest& request) {
  static RateLimitedLogger lines;
  context.metrics_.refused_stopping_.Increment();
  lines.Log(
      http::EventLoop::Now(), LogLevel::kWarning, "query",
      "refused while stopping",
      {{"id", http::FindHeader(request.headers_, context.names_.request_id_)},
       {"status", 503}});
  caller->Respond(RefusalResponse(kOtherDaemonRetryAfterS), true);
}

}  // namespace clementinerill::gateway
