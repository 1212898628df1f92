#ifndef CLEMENTINERILL_MIRROR_DAEMON_RECORD_H_
#define CLEMENTINERILL_MIRROR_DAEMON_RECORD_H_

#include <cstdint>
#include <string>

namespace clementinerill::mirror {

/// @brief What a daemon registers about itself.
struct DaemonRecord {
  std::string name_;
  std::string failure_domain_;
  std::string address_;  ///< Where it relays; empty when it does not.
  uint16_t port_ = 0;
  /// Thousandths of a core that the VM gives the daemon; 0 when unknown.
  int capacity_ = 0;
  int64_t revision_ = 0;  ///< Of the record in the store.
};

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_DAEMON_RECORD_H_
