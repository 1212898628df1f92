#ifndef CLEMENTINERILL_GATEWAY_RELAY_SERVER_H_
#define CLEMENTINERILL_GATEWAY_RELAY_SERVER_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/followed_kind.h"
#include "gateway/gateway_options.h"
#include "http/listener.h"
#include "mirror/relay_message.h"

namespace clementinerill::gateway {

/// @brief Path of the liveness check, on the relay address of a daemon.
inline constexpr const char* kLivenessPath = "/alive";

/// @brief Path at which a daemon relays its copies.
inline constexpr const char* kRelayPath = "/relay";

/// @brief Evidence on rollouts and counts of requests that travel with relay
/// messages, from and to the parts of the daemon that use them.
struct EvidenceHandlers {
  /// Adds the evidence of this daemon to a request for the relay that it
  /// follows.
  std::function<void(mirror::RelayRequest&)> add_to_request_;
  /// Adds the evidence of all daemons to the reply to one that follows this.
  std::function<void(const mirror::RelayRequest&, mirror::RelayReply&)>
      add_to_reply_;
  /// Called with the request of a daemon that follows this one.
  std::function<void(const mirror::RelayRequest&)> on_request_;
  /// Called with the reply of the relay.
  std::function<void(const mirror::RelayReply&)> on_reply_;
  /// Called with the report of another daemon that follows the store; returns
  /// that of this one.
  std::function<mirror::EvidenceReport(const mirror::EvidenceReport&)>
      on_report_;
};

/// @brief Serves this daemon's copies of the store to other daemons.
class RelayServer {
 public:
  /// @param kinds the copies; must outlive this object.
  /// @param evidence must outlive this object.
  RelayServer(http::EventLoop& loop,
              const std::map<std::string, FollowedKind>& kinds,
              const EvidenceHandlers& evidence);

  /// @brief Listens if the options name an address; an error is logged.
  void Listen(const GatewayOptions& options);

  /// @brief Sets whether replies carry the age of the proof of a copy.
  void SetSendsProof(bool sends_proof) { sends_proof_ = sends_proof; }

  /// @brief Replies to the waiting readers for which there are changes.
  void ReplyToWaitingReaders();

  /// @brief Closes connections of readers that have timed out.
  void CheckTimeouts(Instant now) { listener_.CheckTimeouts(false, now); }

 private:
  using Caller = std::shared_ptr<http::ServerConnection>;

  struct WaitingReader {
    Caller caller_;
    mirror::RelayRequest request_;
    BootInstant received_;
    http::TimerQueue::Id timer_;
  };

  void OnRequest(const Caller& caller, const http::HttpRequest& request);
  void OnRelayRequest(const Caller& caller,
                      const mirror::RelayRequest& request);
  /// Replies if there are changes for the reader or with `even_if_unchanged`.
  [[nodiscard]] bool TryReply(const WaitingReader& reader,
                              bool even_if_unchanged);

  http::EventLoop& loop_;
  const std::map<std::string, FollowedKind>& kinds_;
  const EvidenceHandlers& evidence_;
  http::Listener listener_;
  std::list<WaitingReader> waiting_readers_;
  bool sends_proof_ = false;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_RELAY_SERVER_H_
