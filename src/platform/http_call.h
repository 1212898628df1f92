#ifndef CLEMENTINERILL_PLATFORM_HTTP_CALL_H_
#define CLEMENTINERILL_PLATFORM_HTTP_CALL_H_

#include <chrono>
#include <string>

#include <Poco/Net/HTTPRequest.h>

namespace clementinerill {

/// @brief A request of the platform API and its timeout.
struct HttpCall {
  std::string method_ = Poco::Net::HTTPRequest::HTTP_GET;
  std::string path_;
  std::string condition_header_;  ///< `If-Match` or `If-None-Match`; optional.
  std::string condition_value_;
  std::string body_;
  std::chrono::milliseconds timeout_{0};
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_HTTP_CALL_H_
