#include "daemon/caller_server.h"

#include <istream>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include "daemon/query_answer_json.h"

namespace clementinerill {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Idle time-out of connections. A connection on which the caller sends nothing
// occupies a thread for this long.
constexpr int kIdleSeconds = 15;
constexpr int kBacklog = 1024;
constexpr auto kDrainPoll = std::chrono::milliseconds(5);
// How long a shutdown waits for queued connections to get a thread. Idle
// connections release theirs after `kIdleSeconds`.
constexpr auto kQueueWait = std::chrono::seconds(kIdleSeconds + 1);

using InProgress = std::shared_ptr<std::atomic<int>>;

// Whether the caller closed its connection while its query is running.
bool IsDisconnected(HTTPServerRequest& request) {
  auto* implementation =
      dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request);
  if (implementation == nullptr) {
    return false;
  }
  try {
    Poco::Net::StreamSocket& socket = implementation->socket();
    if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      return false;
    }
    char byte = 0;
    return socket.receiveBytes(&byte, 1, MSG_PEEK) == 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

// Reads the body; `std::nullopt` when it is larger than `max_bytes`.
std::optional<std::string> ReadBounded(HTTPServerRequest& request,
                                       size_t max_bytes) {
  if (request.hasContentLength() &&
      request.getContentLength64() > static_cast<Poco::Int64>(max_bytes)) {
    return std::nullopt;
  }
  std::string body(max_bytes + 1, '\0');
  request.stream().read(body.data(), static_cast<std::streamsize>(body.size()));
  body.resize(static_cast<size_t>(request.stream().gcount()));
  if (body.size() > max_bytes) {
    return std::nullopt;
  }
  return body;
}

void Send(HTTPServerResponse& response,
          int status,
          const std::string& content_type,
          const std::string& body) {
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentType(content_type);
  response.sendBuffer(body.data(), body.size());
}

class CallerHandler : public Poco::Net::HTTPRequestHandler {
 public:
  CallerHandler(const CallerServerOptions& options,
                const CallerHandlers& handlers,
                InProgress in_progress,
                const std::atomic<bool>& draining)
      : options_(options),
        handlers_(handlers),
        in_progress_(std::move(in_progress)),
        draining_(draining) {
    ++*in_progress_;
  }
  ~CallerHandler() override { --*in_progress_; }

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    const std::string path = Poco::URI(request.getURI()).getPath();
    if (draining_) {
      response.setKeepAlive(false);
    }
    if (path == "/healthz") {
      Send(response, Poco::Net::HTTPResponse::HTTP_OK, "text/plain", "ok\n");
    } else if (path == "/readyz") {
      SendReadiness(response);
    } else {
      ServeQuery(path, request, response);
    }
  }

 private:
  void SendReadiness(HTTPServerResponse& response) {
    if (handlers_.is_ready_()) {
      Send(response, Poco::Net::HTTPResponse::HTTP_OK, "text/plain", "ready\n");
    } else {
      Send(response, Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
           "text/plain", "not ready\n");
    }
  }

  void ServeQuery(const std::string& path,
                  HTTPServerRequest& request,
                  HTTPServerResponse& response) {
    const std::string prefix = "/v1/";
    QueryInput input;
    input.request_id_ = request.get("X-Request-Id", "");
    const bool is_query = path.compare(0, prefix.size(), prefix) == 0;
    if (!is_query || request.getMethod() != Poco::Net::HTTPRequest::HTTP_POST) {
      SendAnswer(response,
                 RefusedAnswer(input.request_id_, Reason::kUnknownRoute));
      return;
    }
    input.route_ = path.substr(prefix.size());
    input.deadline_ms_ = request.get("X-Deadline-Ms", "");
    input.idempotency_key_ = request.get("Idempotency-Key", "");
    auto body = ReadBounded(request, options_.most_body_bytes_);
    if (!body) {
      // The rest of the body is unread, so the connection can't be reused.
      response.setKeepAlive(false);
      SendAnswer(response,
                 RefusedAnswer(input.request_id_, Reason::kRequestTooLarge));
      return;
    }
    input.body_ = std::move(*body);
    const QueryAnswer answer =
        handlers_.query_(input, [&request] { return IsDisconnected(request); });
    if (draining_) {
      response.setKeepAlive(false);
    }
    SendAnswer(response, answer);
  }

  static void SendAnswer(HTTPServerResponse& response,
                         const QueryAnswer& answer) {
    Send(response, HttpStatusOf(answer), "application/json",
         ToJsonText(answer));
  }

  const CallerServerOptions& options_;
  const CallerHandlers& handlers_;
  InProgress in_progress_;
  const std::atomic<bool>& draining_;
};

class CallerHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  CallerHandlerFactory(const CallerServerOptions& options,
                       const CallerHandlers& handlers,
                       InProgress in_progress,
                       const std::atomic<bool>& draining)
      : options_(options),
        handlers_(handlers),
        in_progress_(std::move(in_progress)),
        draining_(draining) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& request) override {
    static_cast<void>(request);
    return new CallerHandler(options_, handlers_, in_progress_, draining_);
  }

 private:
  const CallerServerOptions& options_;
  const CallerHandlers& handlers_;
  InProgress in_progress_;
  const std::atomic<bool>& draining_;
};

}  // namespace

CallerServer::CallerServer(const CallerServerOptions& options,
                           CallerHandlers handlers)
    : options_(options),
      handlers_(std::move(handlers)),
      in_progress_(std::make_shared<std::atomic<int>>(0)) {}

CallerServer::~CallerServer() {
  Stop();
}

Result<uint16_t> CallerServer::Start() {
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(options_.address_, options_.port_),
                /*reuseAddress=*/true);
    socket.listen(kBacklog);
    auto* params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(options_.threads_);
    params->setMaxQueued(options_.threads_);
    params->setTimeout(Poco::Timespan(kIdleSeconds, 0));
    params->setKeepAliveTimeout(Poco::Timespan(kIdleSeconds, 0));
    threads_ = std::make_unique<Poco::ThreadPool>(2, options_.threads_);
    server_ = std::make_unique<Poco::Net::HTTPServer>(
        new CallerHandlerFactory(options_, handlers_, in_progress_, draining_),
        *threads_, socket, params);
    server_->start();
    return socket.address().port();
  } catch (const Poco::Exception& exception) {
    return Fail("listening on " + options_.address_ + ":" +
                std::to_string(options_.port_) +
                " failed: " + exception.displayText());
  }
}

void CallerServer::Stop() {
  if (!server_) {
    return;
  }
  BeginDrain();
  // `stop` drops accepted connections that are queued for a thread.
  const Instant queue_end = std::chrono::steady_clock::now() + kQueueWait;
  while (server_->queuedConnections() > 0 &&
         std::chrono::steady_clock::now() < queue_end) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  server_->stop();
  while (in_progress_->load() > 0) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  // Without aborting, a request that is still being read gets its response.
  server_->stopAll(/*abortCurrent=*/false);
  server_.reset();
}

}  // namespace clementinerill
