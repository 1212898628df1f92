#ifndef CLEMENTINERILL_GATEWAY_DAEMON_RECORD_JSON_H_
#define CLEMENTINERILL_GATEWAY_DAEMON_RECORD_JSON_H_

#include <nlohmann/json.hpp>

#include "base/result.h"
#include "gateway/gateway_options.h"
#include "mirror/daemon_record.h"
#include "mirror/stored_object.h"

namespace clementinerill::gateway {

/// @brief Encodes the record that this daemon registers in the store.
[[nodiscard]] nlohmann::json EncodeOwnRecord(const GatewayOptions& options);

/// @brief Decodes the record of a daemon. Fails if the failure domain is
/// missing, or if the relay address is not an IP address and port.
[[nodiscard]] Result<mirror::DaemonRecord> DecodeDaemonRecord(
    const mirror::StoredObject& object);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_DAEMON_RECORD_JSON_H_
