#ifndef CLEMENTINERILL_GATEWAY_DUTY_OPTIONS_H_
#define CLEMENTINERILL_GATEWAY_DUTY_OPTIONS_H_

#include <string>

#include "base/time.h"
#include "settings/endpoint.h"

namespace clementinerill::gateway {

/// @brief A duty that one daemon of the fleet performs at a time, by calls to
/// an API.
struct DutyOptions {
  std::string name_;         ///< Of the duty and of its object in the store.
  Endpoint api_;             ///< Where its calls are sent.
  double calls_per_s_ = 10;  ///< All daemons together; the API refuses more.
  Duration lease_ = std::chrono::milliseconds(3000);
  Duration margin_ = std::chrono::milliseconds(300);
  bool api_checks_tokens_ = false;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_DUTY_OPTIONS_H_
