#ifndef CLEMENTINERILL_FAKES_PLATFORM_FAKE_PLATFORM_HANDLER_H_
#define CLEMENTINERILL_FAKES_PLATFORM_FAKE_PLATFORM_HANDLER_H_

#include <string>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include "fakes/platform/fake_platform_state.h"

namespace clementinerill {

/// @brief Handles one HTTP request to the fake platform.
class FakePlatformHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit FakePlatformHandler(FakePlatformState& state) : state_(state) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  using Request = Poco::Net::HTTPServerRequest;
  using Response = Poco::Net::HTTPServerResponse;

  void Serve(const Poco::URI& uri, Request& request, Response& response);
  void ServeObject(const Poco::URI& uri, Request& request, Response& response);
  void ServeGet(const std::string& key, Response& response);
  void ServeWatch(const std::string& key,
                  const Poco::URI& uri,
                  Request& request,
                  Response& response);
  void ServePut(const std::string& key,
                const std::string& body,
                bool drop_response,
                Request& request,
                Response& response);
  void ServeVms(const Poco::URI& uri, Request& request, Response& response);
  void ServeFault(Request& request, Response& response);
  void ServeStats(Response& response);

  /// @brief Applies an injected fault: delays or fails the request.
  ///
  /// Returns true when the request has failed and must not be served.
  [[nodiscard]] static bool ApplyFault(const Fault& fault,
                                       Request& request,
                                       Response& response);

  FakePlatformState& state_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_FAKE_PLATFORM_HANDLER_H_
