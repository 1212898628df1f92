#include "cluster/control_plane.h"

#include <algorithm>
#include <utility>

#include "cluster/publish_seats.h"
#include "cluster/restrictions.h"
#include "cluster/status_json.h"
#include "config/configuration_json.h"
#include "control/control.h"
#include "membership/membership.h"
#include "routing/build_routing_table.h"

namespace clementinerill {
namespace {

constexpr auto kAdvisorySyncInterval = std::chrono::seconds(1);
// Longer than a lease: a daemon without a majority for this long holds no seat.
constexpr auto kRejoinTimeout = std::chrono::seconds(3);
constexpr auto kStatusInterval = std::chrono::milliseconds(200);

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

Hello HelloOf(const ClusterOptions& options) {
  return {options.name_, options.peer_address_, options.peer_port_,
          options.incarnation_};
}

bool IsSameList(const std::vector<Member>& a, const std::vector<Member>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const Member& x, const Member& y) {
                      return x.name_ == y.name_ && x.address_ == y.address_ &&
                             x.leaving_ == y.leaving_;
                    });
}

// The VM list contains no ports. The configured ones are used until the daemon
// announces its own.
void FillPorts(const std::vector<Member>& known, std::vector<Member>& listed) {
  for (Member& member : listed) {
    const auto found = std::find_if(
        known.begin(), known.end(),
        [&member](const Member& m) { return m.name_ == member.name_; });
    if (found != known.end()) {
      member.port_ = found->port_;
    }
  }
}

}  // namespace

ControlPlane::ControlPlane(ClusterOptions options, ControlOutputs outputs)
    : options_(std::move(options)),
      outputs_(std::move(outputs)),
      store_(options_.platform_, events_),
      forwarder_([this](const std::string& peer, const Message& message) {
        return Send(peer, message);
      }) {}

ControlPlane::~ControlPlane() {
  Stop();
}

Result<uint16_t> ControlPlane::Start(Instant now) {
  witness_start_ = now;
  last_majority_ = now;
  incarnation_ = options_.incarnation_;
  configuration_.daemon_ = options_.name_;
  configuration_.started_ = now;
  std::vector<Member> members = options_.static_peers_;
  Member self;
  self.name_ = options_.name_;
  self.address_ = options_.peer_address_;
  members.push_back(self);
  configuration_.group_size_ = static_cast<int>(members.size());
  ApplyVmList(roster_, ++list_version_, members);
  PeerCallbacks callbacks;
  callbacks.on_message_ = [this](const std::string& peer, Message message) {
    if (auto* answer = std::get_if<ForwardAnswer>(&message)) {
      forwarder_.OnAnswer(peer, std::move(*answer));
    } else if (auto* forward = std::get_if<Forward>(&message)) {
      outputs_.serve_forward_(peer, std::move(*forward));
    } else if (auto* cancel = std::get_if<ForwardCancel>(&message)) {
      outputs_.cancel_forward_(peer, cancel->id_);
    } else {
      events_.Push(PeerMessageEvent{peer, std::move(message)});
    }
  };
  callbacks.on_peer_up_ = [this](const Hello& hello) { events_.Push(hello); };
  callbacks.on_peer_down_ = [this](const std::string& peer) {
    forwarder_.OnPeerDown(peer);
  };
  PeerMeshOptions mesh_options;
  mesh_options.self_ = HelloOf(options_);
  auto mesh = PeerMesh::Start(mesh_options, std::move(callbacks));
  if (!mesh) {
    return tl::make_unexpected(mesh.error());
  }
  mesh_ = std::move(*mesh);
  store_.Start();
  ConnectMembers();
  return mesh_->Port();
}

void ControlPlane::Stop() {
  store_.Stop();
  if (mesh_) {
    mesh_->Stop();
  }
}

bool ControlPlane::Send(const std::string& peer, const Message& message) {
  return mesh_ && mesh_->Send(peer, message);
}

void ControlPlane::Raise(Advisory advisory) {
  events_.Push(AdvisoryEvent{std::move(advisory)});
}

void ControlPlane::Tick(Instant now) {
  for (ControlEvent& event : events_.Drain()) {
    HandleEvent(std::move(event), now);
  }
  UpdateGroups(now);
  for (GroupState& group : groups_) {
    Advance(group, Status(), now);
    if (HasMajority(group, now)) {
      last_majority_ = now;
    }
  }
  SendHeartbeats(now);
  SyncAdvisories(now);
  FetchConfiguration(now);
  PublishSeatsNow(now);
  UpdateStatus(now);
}

void ControlPlane::HandleEvent(ControlEvent event, Instant now) {
  std::visit(
      Overloaded{
          [&](PeerMessageEvent& e) {
            HandlePeerMessage(e.peer_, std::move(e.message_), now);
          },
          [&](Hello& hello) { HandleHello(hello); },
          [&](StoreReadEvent& e) { HandleStoreRead(e.outcome_, now); },
          [&](VmListEvent& e) { pending_vms_ = std::move(e.vms_); },
          [&](AdvisoryEvent& e) { HandleAdvisories({e.advisory_}, ""); }},
      event);
}

void ControlPlane::HandlePeerMessage(const std::string& peer,
                                     Message message,
                                     Instant now) {
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    // Recorded also for senders of other groups: a daemon without a
    // configuration knows no pools, so its groups differ from those of its
    // peers and it could otherwise learn nothing from their heartbeats.
    reports_[peer] = {heartbeat->config_version_, heartbeat->advisory_digest_};
    for (GroupState& group : groups_) {
      const int sender = IndexOf(group.group_, peer);
      if (sender >= 0 && ReceiveHeartbeat(group, sender, *heartbeat, now)) {
        return;
      }
    }
  } else if (const auto* advisories = std::get_if<Advisories>(&message)) {
    HandleAdvisories(advisories->entries_, peer);
  } else if (const auto* request = std::get_if<ConfigRequest>(&message)) {
    if (CurrentVersion(configuration_) > request->after_version_) {
      Send(peer,
           ConfigDocument{CurrentVersion(configuration_), configuration_text_});
    }
  } else if (const auto* document = std::get_if<ConfigDocument>(&message)) {
    HandleConfigurationDocument(document->text_, document->version_,
                                ConfigurationSource::kPeer, peer, now);
  }
}

void ControlPlane::HandleHello(const Hello& hello) {
  Member announced;
  announced.name_ = hello.name_;
  announced.address_ = hello.address_;
  announced.port_ = hello.port_;
  announced.incarnation_ = hello.incarnation_;
  if (ApplyAnnouncement(roster_, announced)) {
    ConnectMembers();
  }
}

void ControlPlane::HandleStoreRead(const ReadOutcome& outcome, Instant now) {
  switch (outcome.status_) {
    case ReadStatus::kFound:
      RecordStoreResponse(configuration_, outcome.object_.version_, now);
      HandleConfigurationDocument(outcome.object_.value_,
                                  outcome.object_.version_,
                                  ConfigurationSource::kStore, "", now);
      return;
    case ReadStatus::kAbsent:
      RecordConfigurationAbsent(configuration_, now);
      return;
    case ReadStatus::kUnchanged:
      RecordStoreUnchanged(configuration_, now);
      return;
    case ReadStatus::kUnavailable:
    case ReadStatus::kRejected:
      RecordStoreFailure(configuration_, now);
      return;
  }
}

void ControlPlane::HandleConfigurationDocument(const std::string& text,
                                               uint64_t version,
                                               ConfigurationSource source,
                                               const std::string& origin,
                                               Instant now) {
  if (version <= CurrentVersion(configuration_)) {
    return;
  }
  auto parsed = ParseConfiguration(text);
  if (!parsed) {
    RecordInvalid(configuration_, version, Format(parsed.error().front()));
    return;
  }
  Candidate candidate =
      MakeCandidate(source, origin, version, std::move(*parsed));
  if (ApplyIfNewer(configuration_, std::move(candidate), now) ==
      ApplyOutcome::kApplied) {
    configuration_text_ = text;
    PublishRoutingTable();
  }
}

void ControlPlane::HandleAdvisories(const std::vector<Advisory>& advisories,
                                    const std::string& sender) {
  const std::vector<Advisory> changed =
      MergeAdvisories(advisories_, advisories);
  if (changed.empty()) {
    return;
  }
  for (const std::string& peer : mesh_->ConnectedPeers()) {
    if (peer != sender) {
      Send(peer, Advisories{changed});
    }
  }
  for (const Advisory& advisory : changed) {
    outputs_.on_advisory_changed_(advisory);
  }
  PublishRoutingTable();
}

void ControlPlane::UpdateGroups(Instant now) {
  ApplyPendingVms();
  UpdateMembers(now);
  bool changed = false;
  std::vector<GroupState> next;
  for (const WitnessGroup& group : MakeWitnessGroups(members_, GroupPools())) {
    if (IndexOf(group, options_.name_) < 0) {
      continue;
    }
    const auto known = std::find_if(groups_.begin(), groups_.end(),
                                    [&group](const GroupState& state) {
                                      return state.group_.name_ == group.name_;
                                    });
    if (known != groups_.end() && known->digest_ == DigestOf(group)) {
      next.push_back(std::move(*known));
      continue;
    }
    changed = true;
    auto state =
        known == groups_.end()
            ? MakeGroupState(group, options_.name_, incarnation_,
                             witness_start_, now)
            : ChangeGroup(*known, group, options_.name_, witness_start_, now);
    if (state) {
      next.push_back(std::move(*state));
    }
  }
  groups_ = std::move(next);
  if (changed) {
    ConnectMembers();
  }
}

void ControlPlane::UpdateMembers(Instant now) {
  const std::vector<std::string> wanted = ListedNames(roster_);
  if (members_.empty()) {
    members_ = wanted;
    return;
  }
  if (wanted == members_) {
    return;
  }
  if (now - last_majority_ >= kRejoinTimeout) {
    Rejoin(wanted, now);
    return;
  }
  const bool settled = std::all_of(
      groups_.begin(), groups_.end(),
      [now](const GroupState& state) { return MayChangeMembers(state, now); });
  if (now < next_member_change_ || !settled) {
    return;
  }
  members_ = NextMembers(members_, wanted);
  next_member_change_ = now + kMemberChangeInterval;
}

void ControlPlane::Rejoin(const std::vector<std::string>& members,
                          Instant now) {
  members_ = members;
  groups_.clear();
  ++incarnation_;
  witness_start_ = now;
  last_majority_ = now;
}

void ControlPlane::ApplyPendingVms() {
  if (pending_vms_.empty() || !MayServe(configuration_)) {
    return;
  }
  VmListSplit split =
      SplitVmList(std::exchange(pending_vms_, {}), *configuration_.current_);
  // An empty list would remove every daemon, so it is treated as a fault and
  // ignored.
  if (!split.daemons_.empty() && !IsSameList(split.daemons_, listed_daemons_)) {
    listed_daemons_ = std::move(split.daemons_);
    FillPorts(options_.static_peers_, listed_daemons_);
    ApplyVmList(roster_, ++list_version_, listed_daemons_);
  }
  if (split.upstreams_leaving_ != upstreams_leaving_) {
    upstreams_leaving_ = split.upstreams_leaving_;
    PublishRoutingTable();
  }
}

void ControlPlane::ConnectMembers() {
  for (const auto& [name, member] : roster_.members_) {
    if (name != options_.name_ && member.port_ != 0) {
      mesh_->Connect(name, member.address_, member.port_);
    }
  }
}

void ControlPlane::SendHeartbeats(Instant now) {
  if (now < next_heartbeat_) {
    return;
  }
  next_heartbeat_ = now + kHeartbeatInterval;
  for (GroupState& group : groups_) {
    const auto size = static_cast<int>(group.group_.members_.size());
    for (int member = 0; member < size; ++member) {
      if (member != group.self_) {
        Send(group.group_.members_[static_cast<size_t>(member)],
             MakeHeartbeat(group, Status(), member, now));
      }
    }
  }
}

void ControlPlane::SyncAdvisories(Instant now) {
  if (now < next_sync_) {
    return;
  }
  next_sync_ = now + kAdvisorySyncInterval;
  for (const std::string& peer : mesh_->ConnectedPeers()) {
    const auto report = reports_.find(peer);
    if (report == reports_.end()) {
      continue;
    }
    auto missing =
        AdvisoriesToSend(advisories_, report->second.advisory_digest_);
    if (!missing.empty()) {
      Send(peer, Advisories{std::move(missing)});
    }
  }
}

void ControlPlane::FetchConfiguration(Instant now) {
  const StoreRole role = RoleOf(options_.name_, LiveMembers());
  const FetchPlan plan = PlanFetch(configuration_, PeerVersions(), role, now);
  if (plan.peer_ &&
      Send(*plan.peer_, ConfigRequest{CurrentVersion(configuration_)})) {
    RecordPeerRequest(configuration_, now);
  }
  if (plan.store_due_ && store_.RequestRead(StoreReadRequest{
                             role, WatchVersion(configuration_)})) {
    RecordStoreAttempt(configuration_, now);
  }
}

void ControlPlane::PublishRoutingTable() {
  if (!MayServe(configuration_)) {
    return;
  }
  const Configuration& current = *configuration_.current_;
  outputs_.apply_table_(std::make_shared<const RoutingTable>(BuildRoutingTable(
      current, MakeRestrictions(current, advisories_, upstreams_leaving_))));
}

void ControlPlane::PublishSeatsNow(Instant now) {
  published_ = PublishSeats(groups_, published_, now);
  outputs_.apply_seats_(std::make_shared<const PublishedSeats>(published_));
}

void ControlPlane::UpdateStatus(Instant now) {
  if (now < next_status_) {
    return;
  }
  next_status_ = now + kStatusInterval;
  std::string text = StatusJson(
      options_.name_, DescribeState(configuration_, PeerVersions(), now),
      groups_, advisories_, now);
  const std::lock_guard lock(status_mutex_);
  status_text_ = std::move(text);
}

std::string ControlPlane::StatusText() const {
  const std::lock_guard lock(status_mutex_);
  return status_text_;
}

SelfStatus ControlPlane::Status() const {
  return {CurrentVersion(configuration_), DigestOf(advisories_), leaving_};
}

std::vector<PeerVersion> ControlPlane::PeerVersions() const {
  std::vector<PeerVersion> versions;
  for (const std::string& peer : mesh_->ConnectedPeers()) {
    const auto report = reports_.find(peer);
    if (report != reports_.end()) {
      versions.push_back({peer, report->second.config_version_});
    }
  }
  return versions;
}

std::vector<std::string> ControlPlane::LiveMembers() const {
  std::vector<std::string> live = {options_.name_};
  for (const GroupState& group : groups_) {
    for (size_t i = 0; i < group.peers_.size(); ++i) {
      if (static_cast<int>(i) != group.self_ && group.peers_[i].live_) {
        live.push_back(group.group_.members_[i]);
      }
    }
  }
  return live;
}

std::vector<GroupPool> ControlPlane::GroupPools() const {
  std::vector<GroupPool> pools;
  if (!MayServe(configuration_)) {
    return pools;
  }
  const Configuration& current = *configuration_.current_;
  for (const Pool& pool : current.pools_) {
    GroupPool group_pool;
    group_pool.name_ = pool.name_;
    group_pool.seats_ = pool.seats_;
    for (const Route& route : current.routes_) {
      if (route.pool_ == pool.name_) {
        group_pool.longest_deadline_ = std::max<Duration>(
            group_pool.longest_deadline_, route.longest_deadline_);
      }
    }
    pools.push_back(std::move(group_pool));
  }
  return pools;
}

}  // namespace clementinerill
