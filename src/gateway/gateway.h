#ifndef CLEMENTINERILL_GATEWAY_GATEWAY_H_
#define CLEMENTINERILL_GATEWAY_GATEWAY_H_

#include "gateway/gateway_options.h"

namespace clementinerill::gateway {

/// @brief Runs one gateway daemon until SIGTERM or SIGINT; the exit code.
///
/// One thread serves traffic and one follows the store. SIGHUP reads the
/// settings again.
[[nodiscard]] int RunGateway(const GatewayOptions& options);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_GATEWAY_H_
