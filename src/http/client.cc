#include "http/client.h"

#include <utility>

namespace clementinerill::http {
namespace {

// The platform's store returns pages of about 1 MB and values of up to 1 MB.
constexpr uint64_t kMaxResponseBytes = 8 * 1024 * 1024;

}  // namespace

std::string DescribeFailure(const ClientResponse& response) {
  return response.status_ == 0 ? "no response"
                               : "status " + std::to_string(response.status_);
}

Client::Client(EventLoop& loop, std::string address, uint16_t port)
    : loop_(loop), address_(std::move(address)), port_(port) {}

Client::~Client() {
  Cancel();
}

void Client::Call(ClientRequest request,
                  std::function<void(ClientResponse)> handler) {
  timeout_ = loop_.Timers().Add(EventLoop::Now() + request.timeout_, [this] {
    timeout_.reset();
    if (connection_) {
      connection_->Close();
    }
    Finish({});
  });
  handler_ = std::move(handler);
  // A request that cannot be sent for lack of memory ends with the timeout.
  loop_.Guard().Run(HandlerKind::kCall,
                    [this, &request] { Send(std::move(request)); });
}

void Client::Send(ClientRequest request) {
  if (!connection_ || !connection_->IsReusable()) {
    connection_ = std::make_shared<ClientConnection>(loop_, address_, port_,
                                                     kMaxResponseBytes);
    connection_->EnableKeepAlive();
  }
  HttpRequest message;
  message.method_ = std::move(request.method_);
  message.target_ = std::move(request.target_);
  message.body_ = std::move(request.body_);
  message.headers_.emplace_back("Host", address_ + ":" + std::to_string(port_));
  if (!message.body_.empty()) {
    message.headers_.emplace_back("Content-Type", request.content_type_);
  }
  for (auto& header : request.headers_) {
    message.headers_.push_back(std::move(header));
  }
  ExchangeRequest exchange;
  exchange.bytes_ = ToBytes(message);
  connection_->Start(std::move(exchange), [this](ExchangeResult result) {
    if (result.outcome_ == ExchangeOutcome::kResponse) {
      Finish({result.response_.status_, std::move(result.response_.body_),
              std::move(result.response_.headers_)});
    } else {
      Finish({});
    }
  });
}

void Client::Cancel() {
  handler_ = nullptr;
  StopTimer();
  if (connection_ && connection_->IsBusy()) {
    connection_->Close();
  }
}

void Client::StopTimer() {
  if (timeout_) {
    loop_.Timers().Cancel(*timeout_);
    timeout_.reset();
  }
}

void Client::Finish(ClientResponse response) {
  StopTimer();
  const Handler handler = std::exchange(handler_, nullptr);
  if (!handler) {
    return;
  }
  const HandlerGuard& guard = loop_.Guard();
  const bool has_ended =
      guard.TryRun(HandlerKind::kCall, [&] { handler(std::move(response)); });
  if (!has_ended && !handler_) {
    guard.Run(HandlerKind::kCall, [&] {
      ClientResponse failed;
      failed.handler_failed_ = true;
      handler(std::move(failed));
    });
  }
}

}  // namespace clementinerill::http
