#ifndef CLEMENTINERILL_GATEWAY_KEEP_ALIVE_H_
#define CLEMENTINERILL_GATEWAY_KEEP_ALIVE_H_

#include <optional>
#include <string_view>

#include "base/time.h"

namespace clementinerill::gateway {

/// @brief Parses the idle timeout of a `Keep-Alive` header such as
/// `timeout=5, max=100`.
[[nodiscard]] std::optional<Duration> ParseKeepAlive(std::string_view text);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_KEEP_ALIVE_H_
