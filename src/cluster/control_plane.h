#ifndef CLEMENTINERILL_CLUSTER_CONTROL_PLANE_H_
#define CLEMENTINERILL_CLUSTER_CONTROL_PLANE_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "cluster/cluster_options.h"
#include "cluster/event_queue.h"
#include "cluster/forwarder.h"
#include "cluster/store_follower.h"
#include "control/configuration_state.h"
#include "control/peer_version.h"
#include "membership/advisory_map.h"
#include "membership/group_state.h"
#include "membership/roster.h"
#include "peer/peer_mesh.h"
#include "routing/pool_seats.h"
#include "routing/routing_table.h"

namespace clementinerill {

/// @brief Callbacks through which the control plane updates the data plane.
struct ControlOutputs {
  std::function<void(std::shared_ptr<const RoutingTable>)> apply_table_;
  std::function<void(std::shared_ptr<const PublishedSeats>)> apply_seats_;
  /// Called for each advisory that is new or replaces an older one, on the
  /// thread that calls `Tick`.
  std::function<void(const Advisory&)> on_advisory_changed_;
  /// Called for a query forwarded by a peer; must not block.
  std::function<void(const std::string& peer, Forward forward)> serve_forward_;
  /// Called when a peer no longer waits for the answer to its forwarded query.
  std::function<void(const std::string& peer, uint64_t id)> cancel_forward_;
};

/// @brief State of a peer as reported in its last heartbeat.
struct PeerReport {
  uint64_t config_version_ = 0;
  uint32_t advisory_digest_ = 0;
};

/// @brief Manages membership, configuration and advisories of one daemon.
///
/// `Tick` must always be called from the same thread. Functions documented with
/// "Any thread" may be called concurrently with it.
class ControlPlane {
 public:
  ControlPlane(ClusterOptions options, ControlOutputs outputs);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// @brief Starts the peer connections and the requests to the platform.
  /// @return The port on which peers can connect.
  [[nodiscard]] Result<uint16_t> Start(Instant now);
  void Stop();

  /// @brief Processes queued events, sends heartbeats and publishes changes.
  void Tick(Instant now);

  /// @brief Announces in heartbeats that this daemon is leaving. Any thread.
  void Leave() noexcept { leaving_ = true; }

  /// @brief Raises an advisory that originates at this daemon. Any thread.
  void Raise(Advisory advisory);

  /// @brief The forwarder of queries to other daemons. Any thread.
  [[nodiscard]] Forwarder& Forwards() noexcept { return forwarder_; }

  /// @brief Queues a message to a peer. Any thread.
  /// @return False if the message was not queued. True does not mean that it
  /// was delivered.
  bool Send(const std::string& peer, const Message& message);

  /// @brief State of the control plane as JSON text, as of the last tick. Any
  /// thread.
  [[nodiscard]] std::string StatusText() const;

 private:
  void HandleEvent(ControlEvent event, Instant now);
  void HandlePeerMessage(const std::string& peer, Message message, Instant now);
  void HandleHello(const Hello& hello);
  void HandleStoreRead(const ReadOutcome& outcome, Instant now);
  void HandleAdvisories(const std::vector<Advisory>& advisories,
                        const std::string& sender);
  void HandleConfigurationDocument(const std::string& text,
                                   uint64_t version,
                                   ConfigurationSource source,
                                   const std::string& origin,
                                   Instant now);
  void UpdateGroups(Instant now);
  void UpdateMembers(Instant now);
  /// Resets the groups and joins with the given members under a new
  /// incarnation, like a restarted process: a daemon that is more than one
  /// membership change behind can't catch up by single changes.
  void Rejoin(const std::vector<std::string>& members, Instant now);
  void ApplyPendingVms();
  void ConnectMembers();
  void SendHeartbeats(Instant now);
  void SyncAdvisories(Instant now);
  void FetchConfiguration(Instant now);
  void PublishRoutingTable();
  void PublishSeatsNow(Instant now);
  void UpdateStatus(Instant now);
  [[nodiscard]] SelfStatus Status() const;
  [[nodiscard]] std::vector<PeerVersion> PeerVersions() const;
  [[nodiscard]] std::vector<std::string> LiveMembers() const;
  [[nodiscard]] std::vector<GroupPool> GroupPools() const;

  const ClusterOptions options_;
  const ControlOutputs outputs_;
  EventQueue events_;
  StoreFollower store_;
  std::unique_ptr<PeerMesh> mesh_;
  Forwarder forwarder_;
  std::atomic<bool> leaving_{false};

  // Accessed only by the thread that calls Tick.
  Instant witness_start_;  ///< Start of the process or of the last rejoin.
  Instant last_majority_;
  uint32_t incarnation_ = 0;
  Roster roster_;
  uint64_t list_version_ = 0;
  std::map<std::string, PeerReport> reports_;  ///< By peer.
  /// Follows the VM list, one membership change at a time.
  std::vector<std::string> members_;
  Instant next_member_change_;
  std::vector<GroupState> groups_;
  std::vector<Vm> pending_vms_;  ///< VM list that was read but not applied yet.
  std::vector<Member> listed_daemons_;
  std::set<std::string> upstreams_leaving_;
  AdvisoryMap advisories_;
  ConfigurationState configuration_;
  std::string configuration_text_;
  PublishedSeats published_;
  Instant next_heartbeat_;
  Instant next_sync_;
  Instant next_status_;

  mutable std::mutex status_mutex_;
  std::string status_text_ = "{}";
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_CONTROL_PLANE_H_
