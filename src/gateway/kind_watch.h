#ifndef CLEMENTINERILL_GATEWAY_KIND_WATCH_H_
#define CLEMENTINERILL_GATEWAY_KIND_WATCH_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway_metrics.h"
#include "gateway/store_codec.h"
#include "http/client.h"
#include "mirror/copy_proof.h"
#include "mirror/kind_mirror.h"
#include "settings/endpoint.h"

namespace clementinerill::gateway {

/// @brief Time from the end of the long-poll time of a watch that the store
/// does not answer until the next request has been answered: 600 ms for the
/// missing answer, 200 ms before the retry, 300 ms for its answer on a busy VM.
inline constexpr Duration kWatchRecoveryTime = std::chrono::milliseconds(1100);

/// @brief How the objects of one kind are watched.
struct WatchOptions {
  std::string kind_;
  /// Long-poll time of a watch. A request that the store receives while it is
  /// unavailable is never answered, so changes may be missed for this time and
  /// `kWatchRecoveryTime` after the store is back.
  std::chrono::milliseconds wait_{};
  /// Delay after events before the next watch, so that changes in quick
  /// succession cost one request.
  Duration batch_delay_{};
  JsonBounds object_bounds_{};  ///< Objects beyond them are not usable.
  /// Called after each response, with whether it proved the copy. The proof is
  /// kept in the copy. Unset: responses are not judged.
  std::function<void(mirror::ProofOutcome)> on_proof_ = {};
};

/// @brief Keeps a local copy of the objects of one kind in sync with the store:
/// lists them, then watches for changes, and lists again when the store has
/// compacted its history or has returned from an older copy.
class KindWatch {
 public:
  /// @param on_changes called after changes were applied to `mirror`.
  /// @param on_era called when the store has returned from an older copy.
  KindWatch(http::EventLoop& loop,
            const Endpoint& store,
            const StoreCodec& codec,
            GatewayMetrics& metrics,
            WatchOptions options,
            mirror::KindMirror& mirror,
            std::function<void(const mirror::KindChanges&)> on_changes,
            std::function<void(int64_t era)> on_era);

  /// @brief Starts or stops watching. A copy that has a revision is continued
  /// from it.
  void SetActive(bool active);

  /// @brief Lists again if the copy is of an era before `era`, in which the
  /// store was seen by another watch.
  void EnterEra(int64_t era);

  /// @brief Goes on if an exception has left the watch without a call and a
  /// timer. To be called periodically.
  void RestartIfStopped();

  /// @brief Sets the long-poll time, from the next watch on.
  void SetWait(std::chrono::milliseconds wait) { options_.wait_ = wait; }

  /// @brief Sets the age of the proof of the copy from which the next watch is
  /// answered at once, to renew it; unset: none is.
  void SetRenewalAge(std::optional<Duration> age) { renewal_age_ = age; }

 private:
  void Step();
  void List();
  void Watch();
  void OnPage(const http::ClientResponse& reply);
  void OnEvents(const http::ClientResponse& reply);
  void OnHistoryGone();
  void StopWaiting();
  /// Returns whether the changes are of the current era or a later one. They
  /// are those of `response`, to a call sent at `sent`.
  bool ApplyChanges(const mirror::KindChanges& changes,
                    const http::ClientResponse& response,
                    BootInstant sent);
  /// Judges a response and records the proof. `changes` is null if it has none.
  mirror::ProofOutcome JudgeProof(const http::ClientResponse& response,
                                  const mirror::KindChanges* changes,
                                  BootInstant sent);
  void ReportProof(mirror::ProofOutcome outcome) const;
  [[nodiscard]] std::chrono::milliseconds NextWait();
  /// The era that a response names, by default that of the copy.
  [[nodiscard]] int64_t EraOf(const http::ClientResponse& response) const;
  /// Sends a request that the store holds for up to `wait`.
  void Call(std::string target,
            std::chrono::milliseconds wait,
            void (KindWatch::*handler)(const http::ClientResponse&));
  void ScheduleRetry(const std::string& reason);
  void ScheduleStep(Duration pause);
  void RecordSuccess();

  http::EventLoop& loop_;
  const StoreCodec& codec_;
  GatewayMetrics& metrics_;
  WatchOptions options_;
  mirror::KindMirror& mirror_;
  const std::function<void(const mirror::KindChanges&)> on_changes_;
  const std::function<void(int64_t era)> on_era_;
  http::Client client_;
  mirror::KindChanges pending_list_;
  std::string listed_until_;  ///< Last name of the pages received so far.
  std::optional<http::TimerQueue::Id> timer_;
  bool active_ = false;
  bool needs_list_ = false;
  int failures_ = 0;
  int history_losses_ = 0;  ///< Since a watch was last answered with events.
  Instant called_at_{};     ///< When the last request was sent.
  BootInstant sent_at_{};   ///< The same on the boot clock.
  BootInstant list_sent_at_{};  ///< Of the first page of `pending_list_`.
  std::optional<Duration> renewal_age_;
  bool is_renewing_ = false;  ///< The last watch was to be answered at once.
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_KIND_WATCH_H_
