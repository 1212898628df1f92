#ifndef CLEMENTINERILL_SETTINGS_PROCESS_SETTINGS_H_
#define CLEMENTINERILL_SETTINGS_PROCESS_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/log_level.h"
#include "base/time.h"
#include "settings/endpoint.h"
#include "settings/secret.h"
#include "settings/static_peer.h"

namespace clementinerill {

/// @brief The settings of one daemon, read from its settings file once at
/// start-up; docs/configuration.md is the reference.
///
/// After parsing, exactly one of `admin_token_` and `admin_token_file_` is set.
struct Settings {
  std::string name_;            ///< Unique among the daemons.
  std::string failure_domain_;  ///< The failure domain of this VM.
  Endpoint caller_listen_;
  Endpoint admin_listen_;
  Endpoint peer_listen_;  ///< Never a wildcard, because peers connect to it.
  Endpoint platform_;
  Secret admin_token_;
  std::string admin_token_file_;   ///< Path of the file that holds the token.
  std::vector<StaticPeer> peers_;  ///< May contain this daemon itself.
  /// Wait after draining begins, so that load balancers stop sending requests
  /// before the caller server stops.
  Duration balancer_delay_ = std::chrono::seconds(3);
  int exchange_threads_ = 256;  ///< Concurrent exchanges with upstreams.
  int caller_threads_ = 64;     ///< Concurrent requests of callers.
  int64_t max_request_bytes_ = 64 * 1024;
  LogLevel log_level_ = LogLevel::kInfo;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_PROCESS_SETTINGS_H_
