#ifndef CLEMENTINERILL_GATEWAY_GATEWAY_H_
#define CLEMENTINERILL_GATEWAY_GATEWAY_H_

#include "gateway/gateway_options.h"

namespace clementinerill::gateway {

/// @brief Runs a gateway daemon until SIGTERM or SIGINT and returns its exit
/// code.
///
/// One thread serves traffic, another one follows the store. SIGHUP reloads the
/// settings.
[[nodiscard]] int RunGateway(const GatewayOptions& options);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_GATEWAY_H_
