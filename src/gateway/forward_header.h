#ifndef CLEMENTINERILL_GATEWAY_FORWARD_HEADER_H_
#define CLEMENTINERILL_GATEWAY_FORWARD_HEADER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "traffic/start_query.h"

namespace clementinerill::gateway {

/// @brief Name of the header of a query that one daemon forwards to another.
inline constexpr const char* kForwardHeader = "Clementinerill-Forward";

/// @brief Status with which an aggregator confirms that it starts a query; the
/// final response follows.
inline constexpr int kForwardStarted = 102;

/// @brief Status of an aggregator that has not started a query and will not.
inline constexpr int kForwardRefused = 409;

/// @brief What a daemon sends along with a forwarded query.
struct ForwardHeader {
  /// Version of the configuration that the query must be gathered with.
  int64_t configuration_version_ = 0;
  /// Time since the daemon of the caller received the query.
  std::chrono::milliseconds elapsed_{};
  /// The parts to gather; unset for all parts of the route.
  std::optional<traffic::PartSubset> subset_ = std::nullopt;
  /// Name of the organisation on whose behalf the query runs; empty if none.
  std::string organisation_ = {};
};

/// @brief Encodes a header as `<protocol version> <configuration version>
/// <elapsed milliseconds>`, followed in version 2 by the organisation, and for
/// a subset by `<missing allowed> <skipping allowed> <part>,<part>,...`.
///
/// Version 2 is used only with an organisation. In its name, bytes that are not
/// visible ASCII characters, and `%`, are written as `%` and two hexadecimal
/// digits.
[[nodiscard]] std::string EncodeForwardHeader(const ForwardHeader& header);

/// @brief Decodes a header. Returns `std::nullopt` if it is malformed or has
/// another protocol version.
[[nodiscard]] std::optional<ForwardHeader> DecodeForwardHeader(
    std::string_view text);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_FORWARD_HEADER_H_
