#include "daemon/blocking_server.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include "logging/contain_exceptions.h"

namespace clementinerill {
namespace {

// Period of timeout checks and of the progress of a stop.
constexpr Duration kTickPeriod = std::chrono::milliseconds(20);

// So that a listener works however low the limits are set.
constexpr size_t kMinConnections = 4;

}  // namespace

BlockingServer::BlockingServer(const BlockingServerOptions& options,
                               BlockingServerHandlers handlers)
    : options_(options),
      handlers_(std::move(handlers)),
      listener_(loop_, [this](const Connection& connection, auto request) {
        OnRequest(connection, std::move(request));
      }) {}

BlockingServer::~BlockingServer() {
  Stop(Duration::zero());
}

Result<uint16_t> BlockingServer::Start() {
  auto requests = std::make_shared<BufferBudget>();
  requests->limit_bytes_ = options_.memory_bytes_;
  auto unread = std::make_shared<BufferBudget>(*requests);
  unread->is_first_come_ = true;
  listener_.SetRequestBudget(std::move(requests));
  listener_.SetResponseBudget(std::move(unread));
  listener_.SetLimits(options_.limits_);
  listener_.SetMaxConnections(options_.max_connections_);
  listener_.SetRejection(handlers_.refuse_);
  auto port = listener_.Listen(options_.address_, options_.port_);
  if (!port) {
    return port;
  }
  workers_ = std::make_unique<TaskPool>(options_.threads_);
  loop_.Timers().AddPeriodic(kTickPeriod, [this] { Tick(); });
  thread_ = std::thread([this] { loop_.Run(); });
  return port;
}

void BlockingServer::OnRequest(const Connection& connection,
                               http::HttpRequest request) {
  if (in_progress_ >= options_.threads_ + options_.max_waiting_) {
    connection->Respond(handlers_.refuse_(http::RequestError::kNoMemory), true);
    return;
  }
  ++in_progress_;
  const auto gone = std::make_shared<std::atomic<bool>>(false);
  connection->OnDisconnect([gone] { *gone = true; });
  workers_->Post([this, connection, gone, request = std::move(request)] {
    // No promise on the request, if an exception ends its handler.
    http::HttpResponse response{500, {}, {}, true};
    ContainExceptions("request", [&] {
      response = handlers_.handle_(request, [&gone] { return gone->load(); });
    });
    loop_.Post([this, connection, response = std::move(response)] {
      --in_progress_;
      connection->Respond(response, draining_);
    });
  });
}

void BlockingServer::Tick() {
  const Instant now = http::EventLoop::Now();
  if (stopping_) {
    listener_.StopAccepting();
  }
  listener_.CheckTimeouts(stopping_, now);
  const bool is_done = listener_.CountOpen() == 0 || now >= stop_by_.load();
  if (stopping_ && in_progress_ == 0 && is_done) {
    loop_.Stop();
  }
}

void BlockingServer::Stop(Duration max_wait) {
  if (!thread_.joinable()) {
    return;
  }
  draining_ = true;
  stop_by_ = http::EventLoop::Now() + max_wait;
  stopping_ = true;
  thread_.join();
  workers_->Stop();
}

size_t ShareOfDescriptors(size_t part) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return kMinConnections;
  }
  return std::max(kMinConnections, static_cast<size_t>(limit.rlim_cur / part));
}

}  // namespace clementinerill
