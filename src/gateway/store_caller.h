#ifndef CLEMENTINERILL_GATEWAY_STORE_CALLER_H_
#define CLEMENTINERILL_GATEWAY_STORE_CALLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "http/client_connection.h"
#include "http/event_loop.h"
#include "settings/endpoint.h"

namespace clementinerill::gateway {

/// @brief One call of the store.
struct StoreCall {
  std::string method_ = "GET";
  std::string target_;
  std::string body_;
  Duration timeout_{};
};

/// @brief The store's answer; a status of 0 means that none came, and then a
/// write may have taken effect or may still do so.
struct StoreReply {
  int status_ = 0;
  std::string body_;
};

/// @brief One kept connection to the store, one call at a time.
class StoreCaller {
 public:
  StoreCaller(http::EventLoop& loop, Endpoint store);

  void Call(StoreCall call, std::function<void(StoreReply)> handler);

 private:
  void Finish(StoreReply reply);

  http::EventLoop& loop_;
  const Endpoint store_;
  std::shared_ptr<http::ClientConnection> connection_;
  std::function<void(StoreReply)> handler_;
  std::optional<http::TimerQueue::Id> timeout_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_STORE_CALLER_H_
