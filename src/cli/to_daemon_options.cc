#include "cli/to_daemon_options.h"

#include <random>
#include <utility>

namespace clementinerill {
namespace {

ClusterOptions ToClusterOptions(const Settings& settings) {
  ClusterOptions cluster;
  cluster.name_ = settings.name_;
  cluster.peer_address_ = settings.peer_listen_.address_;
  cluster.peer_port_ = settings.peer_listen_.port_;
  // The incarnation must not be 0, which stands for a daemon that has not
  // announced itself.
  cluster.incarnation_ = std::random_device()() | 1U;
  cluster.platform_.address_ = settings.platform_.address_;
  cluster.platform_.port_ = settings.platform_.port_;
  for (const StaticPeer& peer : settings.peers_) {
    if (peer.name_ != settings.name_) {
      Member member;
      member.name_ = peer.name_;
      member.address_ = peer.endpoint_.address_;
      member.port_ = peer.endpoint_.port_;
      cluster.static_peers_.push_back(std::move(member));
    }
  }
  return cluster;
}

}  // namespace

DaemonOptions ToDaemonOptions(const Settings& settings,
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
  options.cluster_ = ToClusterOptions(settings);
  options.exchange_threads_ = settings.exchange_threads_;
  options.balancer_delay_ =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          settings.balancer_delay_);
  return options;
}

}  // namespace clementinerill
