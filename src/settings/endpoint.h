#ifndef CLEMENTINERILL_SETTINGS_ENDPOINT_H_
#define CLEMENTINERILL_SETTINGS_ENDPOINT_H_

#include <cstdint>
#include <string>

#include "base/result.h"
#include "settings/listen_port_policy.h"

namespace clementinerill {

/// @brief A TCP address: IP number and port.
struct Endpoint {
  std::string address_;  ///< IPv4 or IPv6 number, without brackets.
  uint16_t port_ = 0;
};

[[nodiscard]] bool operator==(const Endpoint& a, const Endpoint& b) noexcept;

/// @brief Parses `10.0.0.1:8080` or `[fd00::1]:8080`.
///
/// Host names are errors: processes address each other by IP number. The port
/// is from 1 to 65535. The error does not repeat the text.
[[nodiscard]] Result<Endpoint> ParseEndpoint(const std::string& text);

/// @brief As `ParseEndpoint`, for an endpoint on which this process listens.
[[nodiscard]] Result<Endpoint> ParseListenEndpoint(const std::string& text,
                                                   ListenPortPolicy ports);

/// @brief Writes the text that `ParseEndpoint` reads.
[[nodiscard]] std::string ToText(const Endpoint& endpoint);

/// @brief Whether the address is the wildcard `0.0.0.0` or `::`.
[[nodiscard]] bool IsWildcard(const Endpoint& endpoint) noexcept;

/// @brief Whether two listeners on these endpoints exclude each other.
[[nodiscard]] bool ListenersConflict(const Endpoint& a,
                                     const Endpoint& b) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_ENDPOINT_H_
