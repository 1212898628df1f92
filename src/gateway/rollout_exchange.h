#ifndef CLEMENTINERILL_GATEWAY_ROLLOUT_EXCHANGE_H_
#define CLEMENTINERILL_GATEWAY_ROLLOUT_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/client.h"
#include "mirror/daemon_record.h"
#include "mirror/relay_message.h"

namespace clementinerill::gateway {

inline constexpr const char* kEvidencePath = "/rollouts";

/// @brief Exchanges evidence on rollouts with the other daemons that follow the
/// store.
///
/// A version is judged by what all daemons saw. The store is not involved, so
/// that an outage of it delays no judgement.
class RolloutExchange {
 public:
  using OnReport = std::function<void(const mirror::EvidenceReport&)>;

  RolloutExchange(http::EventLoop& loop, OnReport on_report)
      : loop_(loop), on_report_(std::move(on_report)) {}

  /// @brief Sets the daemons to exchange evidence with.
  void SetPeers(const std::vector<mirror::DaemonRecord>& peers);

  /// @brief Sends `report` to all peers that have answered the last one.
  void Send(const mirror::EvidenceReport& report);

 private:
  struct Peer {
    Peer(http::EventLoop& loop, const mirror::DaemonRecord& daemon)
        : daemon_(daemon), client_(loop, daemon.address_, daemon.port_) {}

    mirror::DaemonRecord daemon_;
    http::Client client_;
    bool waiting_ = false;  ///< For the response to the last report.
  };

  void OnResponse(Peer& peer, const http::ClientResponse& response);

  http::EventLoop& loop_;
  const OnReport on_report_;
  std::map<std::string, std::unique_ptr<Peer>> peers_;  ///< By name.
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_ROLLOUT_EXCHANGE_H_
