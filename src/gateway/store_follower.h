#ifndef CLEMENTINERILL_GATEWAY_STORE_FOLLOWER_H_
#define CLEMENTINERILL_GATEWAY_STORE_FOLLOWER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/configuration_proof.h"
#include "gateway/followed_kind.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_options.h"
#include "gateway/relay_server.h"
#include "http/client.h"
#include "mirror/relay_message.h"
#include "mirror/relay_plan.h"

namespace clementinerill::gateway {

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

  /// @brief Sets the receiver of the proof of the configuration. A proof is
  /// reported after the view that it holds for.
  void SetOnProof(ConfigurationProof::OnProof on_proof) {
    proof_.SetOnProof(std::move(on_proof));
  }

  /// @brief Sets the maximum age of the proof of the configuration; unset: none
  /// is required.
  void SetMaxProofAge(std::optional<Duration> max_age);

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
  void AddKind(const std::string& kind,
               Duration batch_delay,
               bool must_be_fresh);
  /// Sets the long-poll times that depend on the fleet and on the proof.
  void UpdateWaits();
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
  void RecordCopyAge(Instant now);
  void Tick();
  void RestartIfStopped();

  http::EventLoop& loop_;
  const GatewayOptions& options_;
  GatewayMetrics& metrics_;
  const OnChanges on_changes_;
  EvidenceHandlers evidence_;
  std::vector<mirror::DaemonRecord> daemons_;
  std::map<std::string, FollowedKind> kinds_;
  ConfigurationProof proof_;
  BootInstant polled_at_{};  ///< When the last poll of a relay was sent.
  RelayServer relay_server_;
  mirror::RelayPlan plan_;
  size_t relay_index_ = 0;  ///< The relay in use, modulo their number.
  int relay_failures_ = 0;
  /// When a relay was last up to date, or when the daemons became known.
  Instant last_fresh_{};
  bool knows_daemons_ = false;
  std::unique_ptr<http::Client> relay_client_;
  bool polling_relay_ = false;
  std::optional<http::TimerQueue::Id> relay_timer_;  ///< Of the next poll.
  std::optional<bool> follows_store_;                ///< Unset until decided.
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_STORE_FOLLOWER_H_
