#ifndef CLEMENTINERILL_PEER_DIAL_TARGET_H_
#define CLEMENTINERILL_PEER_DIAL_TARGET_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace clementinerill {

/// @brief Address and dial state of a peer that the mesh keeps a link to.
struct DialTarget {
  std::string address_;
  uint16_t port_ = 0;
  bool dialing_ = false;  ///< An outgoing link exists, ready or not.
  int failures_ = 0;      ///< Consecutive failures; sets the redial backoff.
  Instant next_dial_{};
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_DIAL_TARGET_H_
