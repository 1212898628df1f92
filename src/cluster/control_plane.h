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

/// @brief What the control plane hands to the traffic side.
struct ControlOutputs {
  std::function<void(std::shared_ptr<const RoutingTable>)> apply_table_;
  std::function<void(std::shared_ptr<const PublishedSeats>)> apply_seats_;
  /// An advisory that has replaced an earlier one; called on the thread of
  /// `Tick`.
  std::function<void(const Advisory&)> take_advisory_;
  /// A query forwarded by a peer; must not block.
  std::function<void(const std::string& peer, Forward forward)> serve_forward_;
  /// A peer no longer waits for the answer to its forward.
  std::function<void(const std::string& peer, uint64_t id)> cancel_forward_;
};

/// @brief What the last heartbeat of a peer said about its state.
struct PeerReport {
  uint64_t config_version_ = 0;
  uint32_t advisory_digest_ = 0;
};

/// @brief Membership, configuration and advisories of one daemon.
///
/// `Tick` is called from one thread; other members that are documented so may
/// be called from any thread.
class ControlPlane {
 public:
  ControlPlane(ClusterOptions options, ControlOutputs outputs);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// @brief Starts the peer links and the calls to the platform.
  [[nodiscard]] Result<uint16_t> Start(Instant now);
  void Stop();

  /// @brief Takes in events, sends heartbeats and publishes what has changed.
  void Tick(Instant now);

  /// @brief Announces in heartbeats that this daemon leaves. Any thread.
  void Leave() noexcept { leaving_ = true; }

  /// @brief Raises an advisory at this daemon. Any thread.
  void Raise(Advisory advisory);

  /// @brief Forwards of queries to other daemons. Any thread.
  [[nodiscard]] Forwarder& Forwards() noexcept { return forwarder_; }

  /// @brief Sends a message to a peer. Any thread.
  bool Send(const std::string& peer, const Message& message);

  /// @brief State of the control plane as JSON text, as of the last tick. Any
  /// thread.
  [[nodiscard]] std::string StatusText() const;

 private:
  void Take(ControlEvent event, Instant now);
  void TakeMessage(const std::string& peer, Message message, Instant now);
  void TakeHello(const Hello& hello);
  void TakeStoreRead(const ReadOutcome& outcome, Instant now);
  void TakeAdvisories(const std::vector<Advisory>& advisories,
                      const std::string& sender);
  void TakeDocument(const std::string& text,
                    uint64_t version,
                    ConfigurationSource source,
                    const std::string& origin,
                    Instant now);
  void UpdateGroups(Instant now);
  void StepMembers(Instant now);
  /// Starts anew with the members, like a restarted process: a daemon that is
  /// more than one step behind can't catch up by steps.
  void Rejoin(const std::vector<std::string>& members, Instant now);
  void ApplyVms();
  void ConnectMembers();
  void SendHeartbeats(Instant now);
  void SyncAdvisories(Instant now);
  void FetchConfiguration(Instant now);
  void PublishTable();
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

  // Owned by the thread that calls Tick.
  Instant witness_start_;  ///< Start of the process or of the last rejoin.
  Instant last_majority_;
  uint32_t incarnation_ = 0;
  Roster roster_;
  uint64_t list_version_ = 0;
  std::map<std::string, PeerReport> reports_;  ///< By peer.
  std::vector<std::string> members_;  ///< One step at a time to the list.
  Instant next_step_;
  std::vector<GroupState> groups_;
  std::vector<Vm> vms_;  ///< Read and not yet applied.
  std::vector<Member> listed_;
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
