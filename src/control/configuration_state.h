#ifndef CLEMENTINERILL_CONTROL_CONFIGURATION_STATE_H_
#define CLEMENTINERILL_CONTROL_CONFIGURATION_STATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "config/configuration.h"
#include "control/configuration_source.h"
#include "control/store_access_state.h"

namespace clementinerill {

/// @brief The configuration of one daemon and where it came from.
///
/// Modified only by the functions of this library. `current_` is null until the
/// first document is applied; its version never decreases.
struct ConfigurationState {
  std::string daemon_;  ///< Name of this daemon; seeds its jitter.
  int group_size_ = 1;  ///< Daemons that may start at the same time.
  Instant started_;     ///< Start of this process.
  std::shared_ptr<const Configuration> current_;
  ConfigurationSource source_ = ConfigurationSource::kStartUp;
  std::string origin_;  ///< Peer that sent `current_`; empty for other sources.
  Instant applied_;     ///< When `current_` was applied.
  StoreAccessState store_;
  uint64_t invalid_version_ = 0;  ///< Highest version rejected as invalid.
  std::string invalid_reason_;
  uint64_t divergent_version_ = 0;  ///< Version received with two contents.
  std::optional<Instant> last_peer_request_;
  /// Requests to peers since the last version was applied.
  int peer_request_count_ = 0;
};

/// @brief Version in force at this daemon; 0 when there is none.
[[nodiscard]] inline uint64_t CurrentVersion(
    const ConfigurationState& state) noexcept {
  return state.current_ ? state.current_->version_ : 0;
}

/// @brief Whether the daemon has a configuration and so may serve requests.
[[nodiscard]] inline bool MayServe(const ConfigurationState& state) noexcept {
  return state.current_ != nullptr;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_CONFIGURATION_STATE_H_
