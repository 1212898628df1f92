#include "gateway/control_loop.h"

#include <algorithm>
#include <utility>

#include "gateway/daemon_record_json.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Pause before a failed registration is repeated.
constexpr Duration kRegisterPause = milliseconds(500);
// A registration is waited for at a start; the wait grows with each failure.
constexpr Duration kCallTimeout = milliseconds(600);
constexpr Duration kMostCallTimeout = milliseconds(3000);
// How long a daemon that registers for the first time waits for others: all
// VMs of a fleet start within 0.3 s.
constexpr Duration kFleetStartPause = milliseconds(500);
// Period in which replicas that left are forgotten.
constexpr Duration kForgetPeriod = seconds(1);

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

ControlLoop::ControlLoop(http::EventLoop& loop,
                         const GatewayOptions& options,
                         GatewayMetrics& metrics,
                         Publish publish)
    : loop_(loop),
      options_(options),
      publish_(std::move(publish)),
      follower_(
          loop,
          options,
          metrics,
          [this](const std::string& kind, const mirror::KindChanges& changes) {
            OnChanges(kind, changes);
          }),
      rollouts_(loop, options),
      prober_(
          loop,
          [this](const mirror::DaemonRecord& daemon) { DeleteDaemon(daemon); }),
      writer_(loop, options.store_.address_, options.store_.port_),
      deleter_(loop, options.store_.address_, options.store_.port_) {}

void ControlLoop::Start() {
  follower_.SetEvidence([this] { return rollouts_.OwnEvidence(); },
                        [this](const mirror::RelayRequest& request) {
                          TakeReaderEvidence(request);
                        });
  follower_.Start();
  Register();
  prober_.Start();
  Tick();
}

void ControlLoop::OnChanges(const std::string& kind,
                            const mirror::KindChanges& changes) {
  const StoreKinds& kinds = options_.store_codec_.kinds_;
  if (kind == kinds.configuration_) {
    for (const StoredObject& object : changes.upserted_) {
      TakeConfiguration(object);
    }
  } else if (kind == kinds.replicas_) {
    TakeReplicas(changes);
  } else if (kind == kinds.rollouts_) {
    rollouts_.Take(changes);
    PublishView();
  } else if (kind == kinds.evacuations_) {
    TakeEvacuations(changes);
  } else if (kind == kinds.daemons_) {
    TakeDaemons(changes);
  }
}

void ControlLoop::TakeConfiguration(const StoredObject& object) {
  if (object.name_ != options_.store_codec_.kinds_.configuration_name_) {
    return;
  }
  auto decoded = options_.store_codec_.decode_configuration_(object.content_);
  if (!decoded) {
    Log(LogLevel::kError, "configuration", "cannot be read, kept the last one",
        {{"error", Format(decoded.error())}});
    return;
  }
  const int64_t known = configuration_ ? configuration_->version_ : 0;
  if (decoded->version_ <= known) {
    return;
  }
  Log(LogLevel::kInfo, "configuration", "in force",
      {{"version", decoded->version_},
       {"previous", known},
       {"services", decoded->services_.size()}});
  configuration_ = std::make_shared<const traffic::TrafficConfiguration>(
      std::move(*decoded));
  PublishView();
}

void ControlLoop::TakeReplicas(const mirror::KindChanges& changes) {
  if (changes.is_full_list_) {
    TakeReplicaList(changes.upserted_);
  } else {
    for (const StoredObject& object : changes.upserted_) {
      TakeReplica(object);
    }
    for (const std::string& name : changes.removed_) {
      Log(LogLevel::kInfo, "replicas", "entry removed", {{"replica", name}});
      traffic::MarkReplicaUnlisted(directory_, name, http::EventLoop::Now());
    }
  }
  PublishView();
}

void ControlLoop::TakeReplicaList(const std::vector<StoredObject>& objects) {
  const Instant now = http::EventLoop::Now();
  std::vector<traffic::ReplicaEntry> entries;
  for (const StoredObject& object : objects) {
    auto entry = options_.store_codec_.decode_replica_(object, now);
    if (entry) {
      entries.push_back(std::move(*entry));
    } else {
      Log(LogLevel::kWarning, "replicas", "entry is not usable",
          {{"name", object.name_}, {"error", Format(entry.error())}});
    }
  }
  Log(LogLevel::kInfo, "replicas", "listed",
      {{"objects", objects.size()}, {"usable", entries.size()}});
  traffic::ReplaceReplicas(directory_, std::move(entries), now);
  replicas_known_ = true;
}

void ControlLoop::TakeReplica(const StoredObject& object) {
  const Instant now = http::EventLoop::Now();
  auto entry = options_.store_codec_.decode_replica_(object, now);
  if (!entry) {
    Log(LogLevel::kWarning, "replicas", "entry is not usable",
        {{"name", object.name_}, {"error", Format(entry.error())}});
    traffic::MarkReplicaUnlisted(directory_, object.name_, now);
    return;
  }
  Log(LogLevel::kInfo, "replicas", "entry changed",
      {{"replica", object.name_},
       {"service", entry->service_},
       {"leaving", entry->leaving_since_.has_value()},
       {"cold", entry->cold_until_.has_value()}});
  traffic::UpsertReplica(directory_, std::move(*entry));
}

void ControlLoop::TakeEvacuations(const mirror::KindChanges& changes) {
  if (changes.is_full_list_) {
    evacuated_.clear();
  }
  for (const StoredObject& object : changes.upserted_) {
    Log(LogLevel::kInfo, "evacuation", "ordered",
        {{"failure_domain", object.name_}});
    evacuated_.insert(object.name_);
  }
  for (const std::string& name : changes.removed_) {
    Log(LogLevel::kInfo, "evacuation", "ended", {{"failure_domain", name}});
    evacuated_.erase(name);
  }
  PublishView();
}

void ControlLoop::TakeDaemons(const mirror::KindChanges& changes) {
  if (changes.is_full_list_) {
    daemons_.clear();
  }
  for (const StoredObject& object : changes.upserted_) {
    auto record = DecodeDaemonRecord(object);
    if (record) {
      daemons_[object.name_] = std::move(*record);
    } else {
      Log(LogLevel::kWarning, "daemons", "entry is not usable",
          {{"name", object.name_}, {"error", Format(record.error())}});
      daemons_.erase(object.name_);
    }
  }
  for (const std::string& name : changes.removed_) {
    daemons_.erase(name);
  }
  Log(LogLevel::kInfo, "daemons", "counted", {{"count", daemons_.size()}});
  std::vector<mirror::DaemonRecord> records;
  for (const auto& [name, record] : daemons_) {
    records.push_back(record);
  }
  follower_.SetDaemons(records);
  prober_.SetDaemons(records, options_.name_);
  PublishView();
  const bool is_listed = daemons_.count(options_.name_) > 0;
  if (was_listed_ && !is_listed) {
    // Another daemon could not reach this one for minutes.
    Log(LogLevel::kWarning, "daemons", "own record was deleted",
        {{"name", options_.name_}});
    Register();
  }
  was_listed_ = is_listed;
}

void ControlLoop::DeleteDaemon(const mirror::DaemonRecord& daemon) {
  if (deleting_) {
    return;
  }
  deleting_ = true;
  const auto& codec = options_.store_codec_;
  http::ClientRequest call;
  call.method_ = "DELETE";
  call.target_ = codec.delete_target_(codec.kinds_.daemons_, daemon.name_,
                                      daemon.revision_);
  call.timeout_ = kMostCallTimeout;
  const std::string name = daemon.name_;
  deleter_.Call(
      std::move(call), [this, name](const http::ClientResponse& reply) {
        deleting_ = false;
        // 409: the daemon has registered again; 404: another one deleted it.
        Log(LogLevel::kWarning, "daemons", "deleted a daemon that is gone",
            {{"name", name}, {"status", reply.status_}});
      });
}

void ControlLoop::TakeEvidenceOf(const std::string& daemon,
                                 const traffic::VersionComparison& evidence) {
  rollouts_.TakeEvidence(daemon, evidence, follower_.IsWatcher(),
                         http::EventLoop::Now());
}

void ControlLoop::TakeReaderEvidence(const mirror::RelayRequest& request) {
  for (const mirror::RolloutEvidence& entry : request.evidence_) {
    traffic::VersionComparison evidence;
    evidence.order_.service_ = entry.service_;
    evidence.order_.target_version_ = entry.target_version_;
    evidence.order_.length_ = entry.length_;
    evidence.target_ = {entry.target_attempts_, entry.target_bad_};
    evidence.current_ = {entry.current_attempts_, entry.current_bad_};
    TakeEvidenceOf(request.daemon_, evidence);
  }
}

void ControlLoop::Register() {
  if (registering_) {
    return;
  }
  const auto& codec = options_.store_codec_;
  WriteOwnRecord(
      "POST", codec.list_target_(codec.kinds_.daemons_, "", false),
      [this](const http::ClientResponse& reply) { OnRegistered(reply); });
}

void ControlLoop::WriteOwnRecord(
    const std::string& method,
    const std::string& target,
    std::function<void(const http::ClientResponse&)> handler) {
  http::ClientRequest call;
  call.method_ = method;
  call.target_ = target;
  call.body_ = options_.store_codec_.encode_object_(options_.name_,
                                                    EncodeOwnRecord(options_));
  call.timeout_ = std::min(kCallTimeout * (register_failures_ + 1),
                           Duration(kMostCallTimeout));
  registering_ = true;
  writer_.Call(std::move(call), [this, handler = std::move(handler)](
                                    const http::ClientResponse& reply) {
    registering_ = false;
    handler(reply);
  });
}

void ControlLoop::OnRegistered(const http::ClientResponse& reply) {
  if (IsSuccess(reply.status_)) {
    Log(LogLevel::kInfo, "daemons", "registered", {{"name", options_.name_}});
    // Others register at the same time when a fleet starts.
    loop_.Timers().Add(http::EventLoop::Now() + kFleetStartPause,
                       [this] { follower_.FindDaemons(); });
  } else if (reply.status_ == 409) {
    follower_.FindDaemons();
    UpdateRegistration();
  } else {
    follower_.FindDaemons();
    RegisterLater(reply.status_);
  }
}

// An earlier process of this name registered; its address may have been
// another one. A write of the same content changes nothing in the store.
void ControlLoop::UpdateRegistration() {
  const auto& codec = options_.store_codec_;
  const std::string target =
      codec.object_target_(codec.kinds_.daemons_, options_.name_);
  WriteOwnRecord("PUT", target, [this](const http::ClientResponse& reply) {
    if (IsSuccess(reply.status_)) {
      Log(LogLevel::kInfo, "daemons", "registered again",
          {{"name", options_.name_}});
    } else {
      RegisterLater(reply.status_);
    }
  });
}

void ControlLoop::RegisterLater(int status) {
  ++register_failures_;
  Log(LogLevel::kWarning, "daemons", "cannot register yet",
      {{"status", status}});
  loop_.Timers().Add(http::EventLoop::Now() + kRegisterPause,
                     [this] { Register(); });
}

void ControlLoop::PublishView() {
  auto view = std::make_shared<traffic::TrafficView>();
  if (replicas_known_) {
    view->configuration_ = configuration_;
  }
  for (const auto& [id, entry] : directory_.replicas_) {
    view->replicas_.push_back(entry);
  }
  view->evacuated_ = evacuated_;
  view->rollouts_ = rollouts_.Orders();
  for (const auto& [name, record] : daemons_) {
    ++view->daemons_[record.failure_domain_];
  }
  publish_(std::move(view));
}

void ControlLoop::Tick() {
  if (traffic::EvictDepartedReplicas(directory_, http::EventLoop::Now())) {
    PublishView();
  }
  loop_.Timers().Add(http::EventLoop::Now() + kForgetPeriod,
                     [this] { Tick(); });
}

}  // namespace clementinerill::gateway
