#include "http/client.h"

#include <utility>

namespace clementinerill::http {
namespace {

// A page of the platform's store holds about 1 MB, a single value up to 1 MB.
constexpr uint64_t kMostReplyBytes = 8 * 1024 * 1024;

}  // namespace

std::string DescribeFailure(const ClientResponse& reply) {
  return reply.status_ == 0 ? "no answer"
                            : "status " + std::to_string(reply.status_);
}

Client::Client(EventLoop& loop, std::string address, uint16_t port)
    : loop_(loop), address_(std::move(address)), port_(port) {}

Client::~Client() {
  Cancel();
}

void Client::Call(ClientRequest call,
                  std::function<void(ClientResponse)> handler) {
  handler_ = std::move(handler);
  if (!connection_ || !connection_->IsReusable()) {
    connection_ = std::make_shared<ClientConnection>(loop_, address_, port_,
                                                     kMostReplyBytes);
    connection_->ProbePeer();
  }
  HttpRequest request;
  request.method_ = std::move(call.method_);
  request.target_ = std::move(call.target_);
  request.body_ = std::move(call.body_);
  request.headers_.emplace_back("Host", address_ + ":" + std::to_string(port_));
  if (!request.body_.empty()) {
    request.headers_.emplace_back("Content-Type", call.content_type_);
  }
  ExchangeRequest exchange;
  exchange.bytes_ = ToBytes(request);
  timeout_ = loop_.Timers().Add(EventLoop::Now() + call.timeout_, [this] {
    timeout_.reset();
    connection_->Close();
    Finish({});
  });
  connection_->Start(std::move(exchange), [this](ExchangeResult result) {
    if (result.outcome_ == ExchangeOutcome::kResponse) {
      Finish({result.response_.status_, std::move(result.response_.body_)});
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

void Client::Finish(ClientResponse reply) {
  StopTimer();
  const auto handler = std::move(handler_);
  handler_ = nullptr;
  if (handler) {
    handler(std::move(reply));
  }
}

}  // namespace clementinerill::http
