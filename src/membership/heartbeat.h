#ifndef CLEMENTINERILL_MEMBERSHIP_HEARTBEAT_H_
#define CLEMENTINERILL_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>

namespace clementinerill {

/// @brief A heartbeat from one member of a witness group to another.
///
/// It carries the echo for its receiver only, and refers to members and seats
/// by index, so that its size does not grow with the fleet. The sender is
/// identified by the link that delivers the heartbeat.
struct Heartbeat {
  uint32_t group_ = 0;  ///< Digest of the sender's group.
  uint32_t incarnation_ = 0;
  uint64_t sent_ms_ = 0;  ///< Send time, since process start of the sender.
  uint32_t echo_incarnation_ = 0;
  uint64_t echo_sent_ms_ = 0;  ///< Latest `sent_ms_` from the receiver.
  bool has_echo_ = false;
  uint32_t hears_ = 0;   ///< Bit i: `HeardRecently` holds for member i.
  uint64_t grants_ = 0;  ///< Bit s: the sender grants seat s to the receiver.
  uint64_t config_version_ = 0;
  uint32_t advisory_digest_ = 0;
  bool witness_ = false;  ///< `IsWitness` holds for the sender.
  bool leaving_ = false;
  bool ready_ = false;  ///< Has a configuration and had a majority recently.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_HEARTBEAT_H_
