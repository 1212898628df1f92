#ifndef CLEMENTINERILL_SETTINGS_ENDPOINT_H_
#define CLEMENTINERILL_SETTINGS_ENDPOINT_H_

#include <cstdint>
#include <string>

#include "base/result.h"
#include "settings/listen_port_policy.h"

namespace clementinerill {

/// @brief A TCP endpoint: IP address and port.
struct Endpoint {
  std::string address_;  ///< IPv4 or IPv6 address, without brackets.
  uint16_t port_ = 0;
};

[[nodiscard]] bool operator==(const Endpoint& a, const Endpoint& b) noexcept;

/// @brief Parses `10.0.0.1:8080` or `[fd00::1]:8080`.
///
/// Host names are errors: processes address each other by IP address. The port
/// is from 1 to 65535. The error does not contain the input.
[[nodiscard]] Result<Endpoint> ParseEndpoint(const std::string& text);

/// @brief Like `ParseEndpoint`, for an endpoint on which this process listens;
/// `port_policy` decides whether port 0 is allowed.
[[nodiscard]] Result<Endpoint> ParseListenEndpoint(
    const std::string& text,
    ListenPortPolicy port_policy);

/// @brief Formats an endpoint in the syntax of `ParseEndpoint`.
[[nodiscard]] std::string ToText(const Endpoint& endpoint);

/// @brief Whether the address is the wildcard address `0.0.0.0` or `::`.
[[nodiscard]] bool IsWildcard(const Endpoint& endpoint) noexcept;

/// @brief Whether two listeners cannot both be bound to these endpoints: the
/// ports are equal, and the addresses are equal or one is a wildcard.
[[nodiscard]] bool ListenersConflict(const Endpoint& a,
                                     const Endpoint& b) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_ENDPOINT_H_
