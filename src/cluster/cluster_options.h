#ifndef CLEMENTINERILL_CLUSTER_CLUSTER_OPTIONS_H_
#define CLEMENTINERILL_CLUSTER_CLUSTER_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "membership/member.h"
#include "platform/platform_settings.h"

namespace clementinerill {

/// @brief Identity, peers and platform settings of one daemon of the fleet.
struct ClusterOptions {
  std::string name_;
  std::string peer_address_ = "127.0.0.1";
  uint16_t peer_port_ = 0;
  uint32_t incarnation_ = 0;  ///< Chosen at random at each process start.
  /// Initial daemons, used until the VM list has been read.
  std::vector<Member> static_peers_;
  PlatformSettings platform_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_CLUSTER_OPTIONS_H_
