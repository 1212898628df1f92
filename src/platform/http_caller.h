#ifndef CLEMENTINERILL_PLATFORM_HTTP_CALLER_H_
#define CLEMENTINERILL_PLATFORM_HTTP_CALLER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <Poco/Net/HTTPClientSession.h>

#include "platform/http_call.h"
#include "platform/http_exchange.h"

namespace clementinerill {

/// @brief Runs HTTP exchanges with one address; safe to share.
///
/// Each exchange uses its own connection, so a refused connection proves that
/// the call was not served. The rate of calls is low: a daemon has one pending
/// watch.
class HttpCaller {
 public:
  HttpCaller(std::string address, uint16_t port, std::string token);

  [[nodiscard]] HttpExchange Run(const HttpCall& call);

  /// @brief Ends pending exchanges; later ones fail at once.
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
  /// Duplicates of the descriptors that wait for an answer. `Stop` shuts the
  /// connection down through the duplicate; closing the original from another
  /// thread could hit a descriptor that was reused.
  std::map<const Session*, int> pending_;
  bool stopped_ = false;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_HTTP_CALLER_H_
