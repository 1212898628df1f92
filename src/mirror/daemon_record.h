#ifndef CLEMENTINERILL_MIRROR_DAEMON_RECORD_H_
#define CLEMENTINERILL_MIRROR_DAEMON_RECORD_H_

#include <cstdint>
#include <string>

namespace clementinerill::mirror {

/// @brief The record that a daemon registers in the store.
struct DaemonRecord {
  std::string name_;
  std::string failure_domain_;
  std::string address_;  ///< Relay address; empty if it does not relay.
  uint16_t port_ = 0;
  /// CPU share of the daemon on its VM in millicores; 0 if unknown.
  int capacity_ = 0;
  int64_t revision_ = 0;     ///< Revision of the record in the store.
  std::string region_ = {};  ///< Empty if unknown.
  /// Address for forwarded queries; empty if the daemon does not take them.
  std::string forward_address_ = {};
  uint16_t forward_port_ = 0;
};

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_DAEMON_RECORD_H_
