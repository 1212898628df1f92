#ifndef CLEMENTINERILL_MEMBERSHIP_HEARTBEAT_H_
#define CLEMENTINERILL_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>

namespace clementinerill {

/// @brief One heartbeat from one member of a witness group to another.
///
/// A heartbeat carries the echo for its receiver only, and refers to members
/// and seats by index, so that its size does not grow with the fleet. The link
/// it arrives on identifies its sender.
struct Heartbeat {
  uint32_t group_ = 0;  ///< Digest of the sender's group.
  uint32_t incarnation_ = 0;
  uint64_t sent_ms_ = 0;  ///< Since process start of the sender.
  uint32_t echo_incarnation_ = 0;
  uint64_t echo_sent_ms_ = 0;  ///< `sent_ms_` last received from the receiver.
  bool has_echo_ = false;
  uint32_t hears_ = 0;   ///< Bit i: member i was heard recently.
  uint64_t grants_ = 0;  ///< Bit s: the sender names the receiver for seat s.
  uint64_t config_version_ = 0;
  uint32_t advisory_digest_ = 0;
  bool witness_ = false;  ///< False for `kWitnessWait` after process start.
  bool leaving_ = false;
  bool ready_ = false;  ///< Has a configuration and had a majority recently.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_HEARTBEAT_H_
