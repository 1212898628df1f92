#include "gateway/control_loop.h"

#include <algorithm>
#include <utility>

#include "gateway/daemon_lists.h"
#include "gateway/daemon_record_json.h"
#include "gateway/listed_aggregators.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Delay before a failed registration is retried.
constexpr Duration kRegistrationRetryDelay = milliseconds(500);
// Start-up waits for the first registration, so its timeout is short; it grows
// with each failure up to the maximum.
constexpr Duration kInitialWriteTimeout = milliseconds(600);
constexpr Duration kMaxWriteTimeout = milliseconds(3000);
// Delay between the first registration and reading the list of daemons. All VMs
// of a fleet start within 0.3 s, so the list then has all daemons.
constexpr Duration kFleetStartDelay = milliseconds(500);
// Period of the check for departed replicas to evict.
constexpr Duration kEvictionPeriod = seconds(1);

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

ControlLoop::ControlLoop(http::EventLoop& loop,
                         const GatewayOptions& options,
                         GatewayMetrics& metrics,
                         Publish publish,
                         PublishShares publish_shares)
    : loop_(loop),
      options_(options),
      max_view_age_(options.limits_.max_view_age_),
      publish_(std::move(publish)),
      publish_shares_(std::move(publish_shares)),
      follower_(
          loop,
          options,
          metrics,
          [this](const std::string& kind, const mirror::KindChanges& changes) {
            OnChanges(kind, changes);
          }),
      unusable_(metrics),
      rollouts_(loop, options),
      exchange_(loop,
                [this](const mirror::EvidenceReport& report) {
                  RecordReport(report.process_, report.evidence_, false);
                }),
      usage_(options.usage_
                 ? std::make_unique<UsageControl>(loop, options, metrics)
                 : nullptr),
      prober_(loop,
              [this](const mirror::DaemonRecord& daemon) {
                DeleteDaemonRecord(daemon);
              }),
      writer_(loop, options.store_.address_, options.store_.port_),
      deleter_(loop, options.store_.address_, options.store_.port_) {
  CountExceptions(loop, metrics);
  if (options.duty_) {
    duty_.emplace(loop, options, metrics, [this] { PublishView(); });
  }
  if (duty_ && usage_) {
    usage_->Reporter().SetDuty(duty_->State(), [this](std::string payload) {
      return duty_->SetPayload(std::move(payload));
    });
  }
}

void ControlLoop::Start() {
  follower_.SetEvidenceHandlers(MakeEvidenceHandlers());
  UpdateProofLimit();
  follower_.Start();
  if (usage_) {
    usage_->Start();
  }
  Register();
  prober_.Start();
  StartJudgements();
  Tick();
  loop_.Timers().AddPeriodic(kEvictionPeriod, [this] { Tick(); });
}

void ControlLoop::OnChanges(const std::string& kind,
                            const mirror::KindChanges& changes) {
  unusable_.StartChanges(kind, changes);
  ApplyChanges(kind, changes);
  unusable_.FinishChanges(http::EventLoop::Now());
  PublishView();
}

void ControlLoop::ApplyChanges(const std::string& kind,
                               const mirror::KindChanges& changes) {
  const StoreKinds& kinds = options_.store_codec_.kinds_;
  if (kind == kinds.configuration_) {
    for (const StoredObject& object : changes.upserted_) {
      ApplyConfiguration(object);
    }
  } else if (kind == kinds.replicas_) {
    ApplyReplicaChanges(changes);
  } else if (kind == kinds.rollouts_) {
    rollouts_.ApplyChanges(changes, unusable_);
    rollouts_known_ = rollouts_known_ || changes.is_full_list_;
  } else if (kind == kinds.evacuations_) {
    evacuations_.ApplyChanges(kind, changes, unusable_, http::EventLoop::Now());
  } else if (kind == kinds.daemons_) {
    ApplyDaemonChanges(changes);
  }
}

void ControlLoop::AddUnusable(const std::string& kind,
                              const StoredObject& object,
                              const Error& error) {
  unusable_.Add(kind, object.name_, error, http::EventLoop::Now());
}

void ControlLoop::ApplyConfiguration(const StoredObject& object) {
  const StoreCodec& codec = options_.store_codec_;
  if (object.name_ != codec.kinds_.configuration_name_) {
    return;
  }
  auto decoded = object.decode_error_.empty()
                     ? codec.decode_configuration_(object.content_)
                     : Fail(object.decode_error_);
  if (!decoded) {
    AddUnusable(codec.kinds_.configuration_, object, decoded.error());
    Log(LogLevel::kError, "configuration",
        "not valid, keeping the current version",
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
  UpdateProofLimit();
  if (usage_) {
    usage_->SetConfiguration(*configuration_);
  }
}

void ControlLoop::ApplyReplicaChanges(const mirror::KindChanges& changes) {
  if (changes.is_full_list_) {
    ApplyReplicaList(changes.upserted_);
  } else {
    for (const StoredObject& object : changes.upserted_) {
      ApplyReplica(object);
    }
    for (const std::string& name : changes.removed_) {
      Log(LogLevel::kInfo, "replicas", "entry removed", {{"replica", name}});
      traffic::MarkReplicaUnlisted(directory_, name, http::EventLoop::Now());
    }
  }
}

void ControlLoop::ApplyReplicaList(const std::vector<StoredObject>& objects) {
  const Instant now = http::EventLoop::Now();
  std::vector<traffic::ReplicaEntry> entries;
  for (const StoredObject& object : objects) {
    auto entry = options_.store_codec_.decode_replica_(object, now);
    if (entry) {
      entries.push_back(std::move(*entry));
    } else {
      AddUnusable(options_.store_codec_.kinds_.replicas_, object,
                  entry.error());
    }
  }
  Log(LogLevel::kInfo, "replicas", "listed",
      {{"objects", objects.size()}, {"usable", entries.size()}});
  traffic::ReplaceReplicas(directory_, std::move(entries), now);
  replicas_known_ = true;
}

void ControlLoop::ApplyReplica(const StoredObject& object) {
  const Instant now = http::EventLoop::Now();
  auto entry = options_.store_codec_.decode_replica_(object, now);
  if (!entry) {
    AddUnusable(options_.store_codec_.kinds_.replicas_, object, entry.error());
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

void ControlLoop::ApplyDaemonChanges(const mirror::KindChanges& changes) {
  if (changes.is_full_list_) {
    daemons_.clear();
  }
  for (const StoredObject& object : changes.upserted_) {
    auto record = DecodeDaemonRecord(object);
    if (record) {
      daemons_[object.name_] = std::move(*record);
    } else {
      AddUnusable(options_.store_codec_.kinds_.daemons_, object,
                  record.error());
      daemons_.erase(object.name_);
    }
  }
  for (const std::string& name : changes.removed_) {
    daemons_.erase(name);
  }
  Log(LogLevel::kInfo, "daemons", "counted", {{"count", daemons_.size()}});
  const std::vector<mirror::DaemonRecord> records = RecordsOf(daemons_);
  follower_.SetDaemons(records);
  prober_.SetDaemons(records, options_.name_);
  exchange_.SetPeers(follower_.OtherWatchers());
  if (duty_) {
    duty_->SetDaemons(records);
  }
  daemon_names_ = UpdatedNames(daemon_names_, daemons_);
  if (usage_) {
    usage_->SetDaemons(daemons_, follower_.OtherWatchers(),
                       follower_.IsWatcher());
  }
  aggregators_ = std::make_shared<const std::vector<traffic::Aggregator>>(
      ListedAggregators(daemons_));
  const bool is_listed = daemons_.count(options_.name_) > 0;
  // Another daemon deleted it after failing to reach this one for minutes, or
  // the store has returned from a copy that does not have it. A relay's copy
  // may be older than the record.
  const bool is_lost = registered_era_ && changes.era_ > *registered_era_;
  if (!is_listed && (registered_since_ || is_lost)) {
    Log(LogLevel::kWarning, "daemons", "own record is gone",
        {{"name", options_.name_}});
    registered_era_.reset();
    Register();
  }
  if (!is_listed) {
    registered_since_.reset();
  } else if (!registered_since_) {
    registered_since_ = http::EventLoop::Now();
  }
}

void ControlLoop::DeleteDaemonRecord(const mirror::DaemonRecord& daemon) {
  if (deleting_) {
    return;
  }
  deleting_ = true;
  const auto& codec = options_.store_codec_;
  http::ClientRequest request;
  request.method_ = "DELETE";
  request.target_ = codec.delete_target_(codec.kinds_.daemons_, daemon.name_,
                                         daemon.revision_);
  request.timeout_ = kMaxWriteTimeout;
  const std::string name = daemon.name_;
  deleter_.Call(std::move(request),
                [this, name](const http::ClientResponse& response) {
                  deleting_ = false;
                  // 409: the daemon has registered again. 404: another daemon
                  // has deleted the record.
                  Log(LogLevel::kWarning, "daemons",
                      "deleted the record of an unreachable daemon",
                      {{"name", name}, {"status", response.status_}});
                });
}

void ControlLoop::Register() {
  if (registering_) {
    return;
  }
  const auto& codec = options_.store_codec_;
  WriteOwnRecord(
      "POST", codec.list_target_(codec.kinds_.daemons_, "", false),
      [this](const http::ClientResponse& response) { OnRegistered(response); });
}

void ControlLoop::WriteOwnRecord(
    const std::string& method,
    const std::string& target,
    std::function<void(const http::ClientResponse&)> handler) {
  http::ClientRequest request;
  request.method_ = method;
  request.target_ = target;
  request.body_ = options_.store_codec_.encode_object_(
      options_.name_, EncodeOwnRecord(options_));
  request.timeout_ =
      std::min(kInitialWriteTimeout * (registration_failures_ + 1),
               Duration(kMaxWriteTimeout));
  registering_ = true;
  writer_.Call(std::move(request), [this, handler = std::move(handler)](
                                       const http::ClientResponse& response) {
    registering_ = false;
    handler(response);
  });
}

void ControlLoop::OnRegistered(const http::ClientResponse& response) {
  if (IsSuccess(response.status_)) {
    registered_era_ = options_.store_codec_.decode_era_(response.headers_);
    Log(LogLevel::kInfo, "daemons", "registered", {{"name", options_.name_}});
    // When a fleet starts, the other daemons register at the same time.
    loop_.Timers().Add(http::EventLoop::Now() + kFleetStartDelay,
                       [this] { follower_.WatchDaemons(); });
  } else if (response.status_ == 409) {
    follower_.WatchDaemons();
    UpdateRegistration();
  } else {
    follower_.WatchDaemons();
    RetryRegistration(response.status_);
  }
}

// A previous process of the same name has registered, possibly with another
// address. Writing identical content does not create a revision in the store.
void ControlLoop::UpdateRegistration() {
  const auto& codec = options_.store_codec_;
  const std::string target =
      codec.object_target_(codec.kinds_.daemons_, options_.name_);
  WriteOwnRecord("PUT", target, [this](const http::ClientResponse& response) {
    if (IsSuccess(response.status_)) {
      registered_era_ = options_.store_codec_.decode_era_(response.headers_);
      Log(LogLevel::kInfo, "daemons", "registered again",
          {{"name", options_.name_}});
    } else {
      RetryRegistration(response.status_);
    }
  });
}

void ControlLoop::RetryRegistration(int status) {
  ++registration_failures_;
  Log(LogLevel::kWarning, "daemons", "registration failed, retrying",
      {{"status", status}});
  loop_.Timers().Add(http::EventLoop::Now() + kRegistrationRetryDelay,
                     [this] { Register(); });
}

void ControlLoop::PublishView() {
  auto view = std::make_shared<traffic::TrafficView>();
  // Without the orders, replicas of a target version would look like others.
  if (replicas_known_ && rollouts_known_) {
    view->configuration_ = configuration_;
  }
  for (const auto& [id, entry] : directory_.replicas_) {
    view->replicas_.push_back(entry);
  }
  view->leaving_grace_ = options_.leaving_grace_;
  view->evacuated_ = evacuations_.FailureDomains();
  rollouts_.ForgetWithdrawn(directory_);
  view->rollouts_ = rollouts_.Orders();
  for (const auto& [name, record] : daemons_) {
    ++view->daemons_[record.failure_domain_];
  }
  view->daemon_names_ = daemon_names_;
  view->registered_since_ = registered_since_;
  view->aggregators_ = aggregators_;
  view->unusable_ = unusable_.List();
  if (duty_) {
    view->duty_ = duty_->Status();
  }
  publish_(std::move(view));
}

void ControlLoop::Tick() {
  const Instant now = http::EventLoop::Now();
  const bool evicted =
      traffic::EvictDepartedReplicas(directory_, options_.leaving_grace_, now);
  if (evacuations_.EndLost(now) || evicted) {
    PublishView();
  }
}

}  // namespace clementinerill::gateway
