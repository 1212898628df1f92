#ifndef CLEMENTINERILL_GATEWAY_DAEMON_RECORD_JSON_H_
#define CLEMENTINERILL_GATEWAY_DAEMON_RECORD_JSON_H_

#include <nlohmann/json.hpp>

#include "base/result.h"
#include "gateway/gateway_options.h"
#include "mirror/daemon_record.h"
#include "mirror/stored_object.h"

namespace clementinerill::gateway {

/// @brief What this daemon writes about itself into the store.
[[nodiscard]] nlohmann::json EncodeOwnRecord(const GatewayOptions& options);

/// @brief Reads what a daemon wrote. Errors: no failure domain, or an address
/// that is no IP number and port.
[[nodiscard]] Result<mirror::DaemonRecord> DecodeDaemonRecord(
    const mirror::StoredObject& object);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_DAEMON_RECORD_JSON_H_
