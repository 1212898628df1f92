#ifndef CLEMENTINERILL_PLATFORM_HTTP_CLIENT_H_
#define CLEMENTINERILL_PLATFORM_HTTP_CLIENT_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <Poco/Net/HTTPClientSession.h>

#include "platform/http_call.h"
#include "platform/http_exchange.h"

namespace clementinerill {

/// @brief Sends HTTP requests to one address; thread-safe.
///
/// Each request uses a new connection, so a refused connection proves that
/// the request was not served. The request rate is low: a daemon has one
/// pending watch.
class HttpClient {
 public:
  HttpClient(std::string address, uint16_t port, std::string token);

  [[nodiscard]] HttpExchange Run(const HttpCall& call);

  /// @brief Aborts pending requests; later ones fail immediately.
  void Stop() noexcept;

 private:
  using Session = Poco::Net::HTTPClientSession;

  void Exchange(Session& session, const HttpCall& call, HttpExchange& exchange);
  [[nodiscard]] bool AddPending(Session& session);
  void RemovePending(Session& session);

  std::string address_;
  uint16_t port_;
  std::string token_;
  std::mutex mutex_;
  /// Duplicated socket descriptors of the pending requests. `Stop` shuts the
  /// connections down through them: closing an original from another thread
  /// could close a reused descriptor.
  std::map<const Session*, int> pending_;
  bool stopped_ = false;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_HTTP_CLIENT_H_
