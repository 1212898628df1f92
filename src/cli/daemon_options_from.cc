#include "cli/daemon_options_from.h"

namespace clementinerill {

DaemonOptions DaemonOptionsFrom(const Settings& settings,
                                const Secret& admin_token) {
  DaemonOptions options;
  options.name_ = settings.name_;
  options.failure_domain_ = settings.failure_domain_;
  options.caller_.address_ = settings.caller_listen_.address_;
  options.caller_.port_ = settings.caller_listen_.port_;
  options.caller_.threads_ = settings.caller_threads_;
  options.caller_.most_body_bytes_ =
      static_cast<size_t>(settings.max_request_bytes_);
  options.admin_address_ = settings.admin_listen_.address_;
  options.admin_port_ = settings.admin_listen_.port_;
  options.admin_token_ = admin_token;
  options.platform_address_ = settings.platform_.address_;
  options.platform_port_ = settings.platform_.port_;
  options.peer_listen_ = settings.peer_listen_;
  options.exchange_threads_ = settings.exchange_threads_;
  options.balancer_delay_ =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          settings.balancer_delay_);
  options.members_.push_back(settings.name_);
  for (const StaticPeer& peer : settings.peers_) {
    if (peer.name_ != settings.name_) {
      options.peers_.push_back(peer);
      options.members_.push_back(peer.name_);
    }
  }
  return options;
}

}  // namespace clementinerill
