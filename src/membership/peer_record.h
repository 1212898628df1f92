#ifndef CLEMENTINERILL_MEMBERSHIP_PEER_RECORD_H_
#define CLEMENTINERILL_MEMBERSHIP_PEER_RECORD_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace clementinerill {

/// @brief A daemon's view of one member of its group.
struct PeerRecord {
  uint32_t incarnation_ = 0;
  uint64_t last_sent_ms_ = 0;
  std::optional<Instant> last_heard_;
  bool leaving_ = false;
  bool ready_ = false;
  bool witness_ = false;
  uint32_t hears_ = 0;
  uint64_t config_version_ = 0;
  uint32_t advisory_digest_ = 0;
  bool in_group_ = false;  ///< Last heartbeat had the digest of this group.
  bool live_ = false;      ///< See `UpdateLiveness`.
  /// Latest send time of an own heartbeat that the member has echoed.
  std::optional<Instant> last_echoed_;
  /// The same, per seat that the echo granted to this daemon.
  std::vector<std::optional<Instant>> last_granted_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_PEER_RECORD_H_
