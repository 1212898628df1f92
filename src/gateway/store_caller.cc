#include "gateway/store_caller.h"

#include <utility>

namespace clementinerill::gateway {
namespace {

// A page of the store holds about 1 MB; a single value up to 1 MB.
constexpr uint64_t kMostReplyBytes = 8 * 1024 * 1024;

}  // namespace

StoreCaller::StoreCaller(http::EventLoop& loop, Endpoint store)
    : loop_(loop), store_(std::move(store)) {}

void StoreCaller::Call(StoreCall call,
                       std::function<void(StoreReply)> handler) {
  handler_ = std::move(handler);
  if (!connection_ || !connection_->IsReusable()) {
    connection_ = std::make_shared<http::ClientConnection>(
        loop_, store_.address_, store_.port_, kMostReplyBytes);
  }
  http::HttpRequest request;
  request.method_ = std::move(call.method_);
  request.target_ = std::move(call.target_);
  request.body_ = std::move(call.body_);
  request.headers_.emplace_back("Host", ToText(store_));
  if (!request.body_.empty()) {
    request.headers_.emplace_back("Content-Type", "application/json");
  }
  http::ExchangeRequest exchange;
  exchange.bytes_ = http::ToBytes(request);
  timeout_ = loop_.Timers().Add(http::EventLoop::Now() + call.timeout_, [this] {
    timeout_.reset();
    connection_->Close();
    Finish({});
  });
  connection_->Start(std::move(exchange), [this](http::ExchangeResult result) {
    if (result.end_ == http::ExchangeEnd::kAnswer) {
      Finish({result.answer_.status_, std::move(result.answer_.body_)});
    } else {
      Finish({});
    }
  });
}

void StoreCaller::Finish(StoreReply reply) {
  if (timeout_) {
    loop_.Timers().Cancel(*timeout_);
    timeout_.reset();
  }
  const auto handler = std::move(handler_);
  handler_ = nullptr;
  if (handler) {
    handler(std::move(reply));
  }
}

}  // namespace clementinerill::gateway
