#ifndef CLEMENTINERILL_GATEWAY_STORE_FOLLOWER_H_
#define CLEMENTINERILL_GATEWAY_STORE_FOLLOWER_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway_metrics.h"
#include "gateway/gateway_options.h"
#include "gateway/kind_watch.h"
#include "http/client.h"
#include "http/listener.h"
#include "mirror/kind_mirror.h"
#include "mirror/relay_message.h"
#include "mirror/relay_plan.h"

namespace clementinerill::gateway {

/// @brief Path at which a daemon says that it lives, on the address where it
/// relays.
inline constexpr const char* kAlivePath = "/alive";

/// @brief Keeps this daemon's copies of the store up to date and relays them.
///
/// A few daemons of each failure domain follow the store; the others ask them,
/// so that a change of one object does not cost a call for each daemon. A
/// daemon whose relays are silent or out of date follows the store itself.
class StoreFollower {
 public:
  using OnChanges = std::function<void(const std::string& kind,
                                       const mirror::KindChanges& changes)>;

  StoreFollower(http::EventLoop& loop,
                const GatewayOptions& options,
                GatewayMetrics& metrics,
                OnChanges on_changes);

  /// @brief Evidence about rollouts travels with the requests of readers: `own`
  /// gives that of this daemon, `take` gets the requests that hold some.
  void SetEvidence(std::function<std::vector<mirror::RolloutEvidence>()> own,
                   std::function<void(const mirror::RelayRequest&)> take) {
    own_evidence_ = std::move(own);
    take_evidence_ = std::move(take);
  }

  /// @brief Whether this daemon follows the store on behalf of others.
  [[nodiscard]] bool IsWatcher() const noexcept {
    return plan_.role_ == mirror::RelayRole::kWatcher;
  }

  /// @brief Listens for other daemons and asks the seeds.
  void Start();

  /// @brief Reads the registered daemons from the store; what is followed is
  /// decided once they are known.
  void FindDaemons();

  /// @brief Takes the registered daemons, which decide who follows the store.
  void SetDaemons(const std::vector<mirror::DaemonRecord>& daemons);

 private:
  using Caller = std::shared_ptr<http::ServerConnection>;

  struct FollowedKind {
    mirror::KindMirror mirror_;
    std::unique_ptr<KindWatch> watch_;
    bool must_be_fresh_ = true;
  };

  struct WaitingReader {
    Caller caller_;
    mirror::RelayRequest request_;
    http::TimerQueue::Id timer_;
  };

  void AddKind(const std::string& kind, Duration settle, bool must_be_fresh);
  void OnKindChanged(const std::string& kind,
                     const mirror::KindChanges& changes);
  void SetDirect(bool direct, const std::string& reason);
  void ActivateWatches();
  void AskRelay();
  void AskRelayAfter(Duration pause);
  void OnRelayReply(const http::ClientResponse& reply);
  void OnRelaySilent(const std::string& reason);
  [[nodiscard]] bool TakeRelayed(const mirror::RelayReply& reply);
  [[nodiscard]] mirror::RelayRequest MakeRequest() const;
  void OnRelayRequest(const Caller& caller, const http::HttpRequest& request);
  /// Replies if there is news for the reader, or `without_news`.
  [[nodiscard]] bool TryReply(const Caller& caller,
                              const mirror::RelayRequest& request,
                              bool without_news);
  void ReplyToWaiting();
  void Tick();

  http::EventLoop& loop_;
  const GatewayOptions& options_;
  GatewayMetrics& metrics_;
  const OnChanges on_changes_;
  std::function<std::vector<mirror::RolloutEvidence>()> own_evidence_;
  std::function<void(const mirror::RelayRequest&)> take_evidence_;
  std::map<std::string, FollowedKind> kinds_;
  http::Listener relay_listener_;
  std::list<WaitingReader> waiting_;
  mirror::RelayPlan plan_;
  size_t relay_ = 0;  ///< Index of the relay that is asked.
  int relay_failures_ = 0;
  Instant last_fresh_{};  ///< A relay was up to date, or relays were named.
  bool knows_daemons_ = false;
  std::unique_ptr<http::Client> relay_client_;
  bool asking_ = false;
  std::optional<bool> direct_;  ///< Follows the store; nothing at the start.
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_STORE_FOLLOWER_H_
