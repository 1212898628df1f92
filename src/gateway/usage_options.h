#ifndef CLEMENTINERILL_GATEWAY_USAGE_OPTIONS_H_
#define CLEMENTINERILL_GATEWAY_USAGE_OPTIONS_H_

#include <cstdint>
#include <functional>
#include <string>

#include "http/client.h"
#include "settings/endpoint.h"
#include "usage/report_book.h"
#include "usage/revise_book.h"

namespace clementinerill::gateway {

/// @brief Settings of the reports of usage.
struct UsageOptions {
  Endpoint api_;
  usage::ReportSettings reports_;
  /// Calls of the API per second, of all daemons together.
  double calls_per_s_ = 5;
  /// Encodes the call that reports a window; provided by the adapter of the
  /// platform.
  std::function<http::ClientRequest(const std::string& holder,
                                    int64_t token,
                                    const usage::WindowReport& report)>
      encode_report_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_USAGE_OPTIONS_H_
