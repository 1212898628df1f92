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

/// @brief Path of the liveness check, on the relay address of a daemon.
inline constexpr const char* kLivenessPath = "/alive";

/// @brief Evidence on rollouts that travels with relay messages, from and to
/// the part of the daemon that judges.
struct EvidenceHandlers {
  /// Adds the evidence of this daemon, sent to the relay that it follows.
  std::function<void(mirror::RelayRequest&)> own_;
  /// Adds the evidence of all daemons, sent to those that follow this one.
  std::function<void(mirror::RelayReply&)> sums_;
  /// Called with the request of a daemon that follows this one.
  std::function<void(const mirror::RelayRequest&)> on_request_;
  /// Called with the sums that the relay sent.
  std::function<void(const mirror::RelayReply&)> on_sums_;
  /// Called with the report of another daemon that follows the store; returns
  /// that of this one.
  std::function<mirror::EvidenceReport(const mirror::EvidenceReport&)>
      on_report_;
};

/// @brief Keeps this daemon's copies of the store up to date and relays them to
/// other daemons.
///
/// In each failure domain a few daemons follow the store and relay it to the
/// others, so that a change does not cost one store request per daemon. A
/// daemon whose relays are unreachable or out of date follows the store itself.
class StoreFollower {
 public:
  using OnChanges = std::function<void(const std::string& kind,
                                       const mirror::KindChanges& changes)>;

  StoreFollower(http::EventLoop& loop,
                const GatewayOptions& options,
                GatewayMetrics& metrics,
                OnChanges on_changes);

  /// @brief Sets the handlers of rollout evidence, before `Start`.
  void SetEvidenceHandlers(EvidenceHandlers handlers) {
    evidence_ = std::move(handlers);
  }

  /// @brief The daemons that follow the store as well, or may do so next.
  [[nodiscard]] std::vector<mirror::DaemonRecord> OtherWatchers() const;

  /// @brief Whether this daemon follows the store on behalf of others.
  [[nodiscard]] bool IsWatcher() const noexcept {
    return plan_.role_ == mirror::RelayRole::kWatcher;
  }

  /// @brief Starts listening for other daemons and polling the seeds.
  void Start();

  /// @brief Starts watching the registered daemons in the store. The role of
  /// this daemon is determined once they are known.
  void WatchDaemons();

  /// @brief Sets the registered daemons, which determine who follows the store.
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

  void AddKind(const std::string& kind,
               Duration batch_delay,
               bool must_be_fresh);
  void OnKindChanged(const std::string& kind,
                     const mirror::KindChanges& changes);
  void SetFollowsStore(bool follows_store, const std::string& reason);
  void ActivateWatches();
  void PollRelay();
  void PollRelayAfter(Duration pause);
  void OnRelayReply(const http::ClientResponse& reply);
  void OnRelayFailed(const std::string& reason);
  [[nodiscard]] bool ApplyRelayReply(const mirror::RelayReply& reply);
  [[nodiscard]] mirror::RelayRequest MakeRequest() const;
  void OnRequest(const Caller& caller, const http::HttpRequest& request);
  void OnRelayRequest(const Caller& caller,
                      const mirror::RelayRequest& request);
  /// Replies if there are changes for the reader or with `even_if_unchanged`.
  [[nodiscard]] bool TryReply(const Caller& caller,
                              const mirror::RelayRequest& request,
                              bool even_if_unchanged);
  void ReplyToWaitingReaders();
  void RecordCopyAge(Instant now);
  void Tick();

  http::EventLoop& loop_;
  const GatewayOptions& options_;
  GatewayMetrics& metrics_;
  const OnChanges on_changes_;
  EvidenceHandlers evidence_;
  std::vector<mirror::DaemonRecord> daemons_;
  std::map<std::string, FollowedKind> kinds_;
  http::Listener relay_listener_;
  std::list<WaitingReader> waiting_readers_;
  mirror::RelayPlan plan_;
  size_t relay_index_ = 0;  ///< The relay in use, modulo their number.
  int relay_failures_ = 0;
  /// When a relay was last up to date, or when the daemons became known.
  Instant last_fresh_{};
  bool knows_daemons_ = false;
  std::unique_ptr<http::Client> relay_client_;
  bool polling_relay_ = false;
  std::optional<bool> follows_store_;  ///< Unset until decided.
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_STORE_FOLLOWER_H_
