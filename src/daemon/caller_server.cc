#include "daemon/caller_server.h"

#include <algorithm>
#include <utility>

#include "daemon/query_answer_json.h"

namespace clementinerill {
namespace {

// How long a connection may be idle.
constexpr auto kIdleTime = std::chrono::seconds(15);
// How long a shutdown waits for requests that are still being received and for
// responses that are still being read.
constexpr auto kStopWait = std::chrono::seconds(5);

// Bytes of requests, and of responses that callers have not read. Enough for
// 500 requests of the largest default size.
constexpr uint64_t kMemoryBytes = uint64_t{32} << 20;
// A single request of the largest size is served: it counts twice, and may use
// half of the memory.
constexpr uint64_t kLargestRequests = 4;

// Part of the descriptors for callers; the others are for upstreams, daemons
// and operators.
constexpr size_t kDescriptorPart = 4;

http::HttpResponse TextResponse(int status, const std::string& text) {
  return {status, {{"Content-Type", "text/plain"}}, text, true};
}

http::HttpResponse AnswerResponse(const QueryAnswer& answer) {
  return {HttpStatusOf(answer),
          {{"Content-Type", "application/json"}},
          ToJsonText(answer),
          true};
}

http::HttpResponse RefusalResponse(http::RequestError error) {
  Reason reason = Reason::kMalformedRequest;
  if (error == http::RequestError::kBodyTooLarge) {
    reason = Reason::kRequestTooLarge;
  } else if (error == http::RequestError::kNoMemory) {
    reason = Reason::kOverloaded;
  }
  auto response = AnswerResponse(RefusedAnswer("", reason));
  response.status_ = http::StatusOf(error);
  return response;
}

BlockingServerOptions ServerOptions(const CallerServerOptions& options) {
  BlockingServerOptions server;
  server.address_ = options.address_;
  server.port_ = options.port_;
  server.threads_ = options.threads_;
  server.max_waiting_ = options.threads_;
  server.limits_.max_body_bytes_ = options.most_body_bytes_;
  server.limits_.idle_timeout_ = kIdleTime;
  server.memory_bytes_ =
      std::max(kMemoryBytes, kLargestRequests * options.most_body_bytes_);
  server.max_connections_ = ShareOfDescriptors(kDescriptorPart);
  return server;
}

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

std::string Field(const http::HttpRequest& request, std::string_view name) {
  return std::string(http::FindHeader(request.headers_, name));
}

}  // namespace

CallerServer::CallerServer(const CallerServerOptions& options,
                           CallerHandlers handlers)
    : handlers_(std::move(handlers)),
      server_(ServerOptions(options),
              {[this](const http::HttpRequest& request,
                      const std::function<bool()>& caller_gone) {
                 return Handle(request, caller_gone);
               },
               RefusalResponse}) {}

CallerServer::~CallerServer() {
  Stop();
}

Result<uint16_t> CallerServer::Start() {
  return server_.Start();
}

void CallerServer::Stop() {
  server_.Stop(kStopWait);
}

http::HttpResponse CallerServer::Handle(
    const http::HttpRequest& request,
    const std::function<bool()>& caller_gone) const {
  const std::string path = PathOf(request.target_);
  if (path == "/healthz") {
    return TextResponse(200, "ok\n");
  }
  if (path == "/readyz") {
    return handlers_.is_ready_() ? TextResponse(200, "ready\n")
                                 : TextResponse(503, "not ready\n");
  }
  return ServeQuery(path, request, caller_gone);
}

http::HttpResponse CallerServer::ServeQuery(
    const std::string& path,
    const http::HttpRequest& request,
    const std::function<bool()>& caller_gone) const {
  const std::string prefix = "/v1/";
  QueryInput input;
  input.request_id_ = Field(request, "X-Request-Id");
  if (path.compare(0, prefix.size(), prefix) != 0 ||
      request.method_ != "POST") {
    return AnswerResponse(
        RefusedAnswer(input.request_id_, Reason::kUnknownRoute));
  }
  input.route_ = path.substr(prefix.size());
  input.deadline_ms_ = Field(request, "X-Deadline-Ms");
  input.idempotency_key_ = Field(request, "Idempotency-Key");
  input.body_ = request.body_;
  return AnswerResponse(handlers_.query_(input, caller_gone));
}

}  // namespace clementinerill
