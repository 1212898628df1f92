#ifndef CLEMENTINERILL_DAEMON_DAEMON_OPTIONS_H_
#define CLEMENTINERILL_DAEMON_DAEMON_OPTIONS_H_

#include <chrono>
#include <string>

#include "cluster/cluster_options.h"
#include "daemon/caller_server.h"
#include "settings/endpoint.h"
#include "settings/secret.h"
#include "settings/static_peer.h"

namespace clementinerill {

/// @brief Start-up options of a daemon.
struct DaemonOptions {
  std::string name_;
  std::string failure_domain_;
  CallerServerOptions caller_;
  std::string admin_address_ = "127.0.0.1";
  uint16_t admin_port_ = 0;  ///< 0: the system chooses a port.
  ClusterOptions cluster_;
  Secret admin_token_;  ///< Required for all methods but GET and HEAD.
  int exchange_threads_ = 128;
  int control_threads_ = 16;
  int forward_threads_ = 64;
  std::chrono::milliseconds balancer_delay_{3000};
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_DAEMON_OPTIONS_H_
