#include "gateway/control_loop.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A waiting watch counts as one call, so it waits long; a path that went
// silent is noticed by the keep-alive probes of the connection.
constexpr milliseconds kWatchWait{5000};
constexpr milliseconds kQuietWatchWait{10000};
// Entries of replicas change in groups when many start or leave; a change is
// due within seconds.
constexpr Duration kReplicaSettle = milliseconds(100);
// Until the daemons are counted, limits are shared among this many: the
// smaller share is the safe one.
constexpr int kAssumedDaemons = 12;
// Period between counts of the daemons; machines are added and lost rarely.
constexpr Duration kCountPeriod = seconds(5);
// Pause before a failed registration is repeated.
constexpr Duration kRegisterPause = milliseconds(700);
constexpr Duration kCallTimeout = milliseconds(2000);
// Period in which replicas that left are forgotten.
constexpr Duration kForgetPeriod = seconds(1);

bool NamesEntry(const std::vector<StoredObject>& objects,
                const std::string& name) {
  return std::any_of(
      objects.begin(), objects.end(),
      [&name](const StoredObject& object) { return object.name_ == name; });
}

}  // namespace

ControlLoop::ControlLoop(http::EventLoop& loop,
                         const GatewayOptions& options,
                         GatewayMetrics& metrics,
                         Publish publish)
    : loop_(loop),
      options_(options),
      metrics_(metrics),
      publish_(std::move(publish)),
      writer_(loop, options.store_),
      reader_(loop, options.store_),
      daemons_(kAssumedDaemons) {}

void ControlLoop::Start() {
  StartConfiguration();
  StartReplicas();
  StartEvacuations();
  for (const auto& watch : watches_) {
    watch->Start();
  }
  Register();
  Tick();
}

void ControlLoop::StartConfiguration() {
  WatchHandlers handlers;
  handlers.on_list_ = [this](const std::vector<StoredObject>& objects) {
    for (const StoredObject& object : objects) {
      TakeConfiguration(object);
    }
  };
  handlers.on_events_ = [this](const std::vector<StoreEvent>& events) {
    for (const StoreEvent& event : events) {
      if (!event.deleted_) {
        TakeConfiguration(event.object_);
      }
    }
  };
  watches_.push_back(std::make_unique<KindWatch>(
      loop_, options_.store_, options_.port_, metrics_,
      WatchOptions{options_.port_.kinds_.configuration_, kWatchWait, {}},
      std::move(handlers)));
}

void ControlLoop::TakeConfiguration(const StoredObject& object) {
  if (object.name_ != options_.port_.kinds_.configuration_name_) {
    return;
  }
  auto decoded = options_.port_.decode_configuration_(object.content_);
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

void ControlLoop::StartReplicas() {
  WatchHandlers handlers;
  handlers.on_list_ = [this](const std::vector<StoredObject>& objects) {
    TakeReplicas(objects);
  };
  handlers.on_events_ = [this](const std::vector<StoreEvent>& events) {
    for (const StoreEvent& event : events) {
      TakeReplicaEvent(event);
    }
    PublishView();
  };
  watches_.push_back(std::make_unique<KindWatch>(
      loop_, options_.store_, options_.port_, metrics_,
      WatchOptions{options_.port_.kinds_.replicas_, kWatchWait, kReplicaSettle},
      std::move(handlers)));
}

void ControlLoop::TakeReplicas(const std::vector<StoredObject>& objects) {
  const Instant now = http::EventLoop::Now();
  std::vector<traffic::ReplicaEntry> entries;
  for (const StoredObject& object : objects) {
    auto entry = options_.port_.decode_replica_(object, now);
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
  PublishView();
}

void ControlLoop::TakeReplicaEvent(const StoreEvent& event) {
  const Instant now = http::EventLoop::Now();
  const std::string& name = event.object_.name_;
  if (event.deleted_) {
    Log(LogLevel::kInfo, "replicas", "entry removed", {{"replica", name}});
    traffic::RemoveReplica(directory_, name, now);
    return;
  }
  auto entry = options_.port_.decode_replica_(event.object_, now);
  if (!entry) {
    Log(LogLevel::kWarning, "replicas", "entry is not usable",
        {{"name", name}, {"error", Format(entry.error())}});
    traffic::RemoveReplica(directory_, name, now);
    return;
  }
  Log(LogLevel::kInfo, "replicas", "entry changed",
      {{"replica", name},
       {"service", entry->service_},
       {"leaving", entry->leaving_since_.has_value()},
       {"cold", entry->cold_until_.has_value()}});
  traffic::PutReplica(directory_, std::move(*entry));
}

void ControlLoop::StartEvacuations() {
  WatchHandlers handlers;
  handlers.on_list_ = [this](const std::vector<StoredObject>& objects) {
    evacuated_.clear();
    for (const StoredObject& object : objects) {
      evacuated_.insert(object.name_);
    }
    PublishView();
  };
  handlers.on_events_ = [this](const std::vector<StoreEvent>& events) {
    for (const StoreEvent& event : events) {
      const std::string& domain = event.object_.name_;
      Log(LogLevel::kInfo, "evacuation", event.deleted_ ? "ended" : "ordered",
          {{"failure_domain", domain}});
      if (event.deleted_) {
        evacuated_.erase(domain);
      } else {
        evacuated_.insert(domain);
      }
    }
    PublishView();
  };
  watches_.push_back(std::make_unique<KindWatch>(
      loop_, options_.store_, options_.port_, metrics_,
      WatchOptions{options_.port_.kinds_.evacuations_, kQuietWatchWait, {}},
      std::move(handlers)));
}

void ControlLoop::Register() {
  const auto& port = options_.port_;
  const nlohmann::json content = {{"failure_domain", options_.failure_domain_}};
  writer_.Call({"POST", port.list_target_(port.kinds_.daemons_, "", false),
                port.encode_object_(options_.name_, content), kCallTimeout},
               [this](const StoreReply& reply) {
                 // 409: registered by an earlier process of this VM.
                 if (reply.status_ == 409 ||
                     (reply.status_ >= 200 && reply.status_ < 300)) {
                   Log(LogLevel::kInfo, "daemons", "registered",
                       {{"status", reply.status_}});
                   CountDaemons();
                   return;
                 }
                 Log(LogLevel::kWarning, "daemons", "cannot register yet",
                     {{"status", reply.status_}});
                 loop_.Timers().Add(http::EventLoop::Now() + kRegisterPause,
                                    [this] { Register(); });
               });
}

void ControlLoop::CountDaemons() {
  const auto& port = options_.port_;
  reader_.Call({"GET", port.list_target_(port.kinds_.daemons_, "", true), "",
                kCallTimeout},
               [this](const StoreReply& reply) {
                 const auto page = options_.port_.decode_page_(reply.body_);
                 // A stale answer may lack daemons that started just now; the
                 // larger count is the safe one.
                 if (reply.status_ == 200 && page &&
                     NamesEntry(page->objects_, options_.name_)) {
                   const auto count = static_cast<int>(page->objects_.size());
                   if (count != daemons_) {
                     Log(LogLevel::kInfo, "daemons", "counted",
                         {{"count", count}, {"previous", daemons_}});
                     daemons_ = count;
                     PublishView();
                   }
                 }
                 loop_.Timers().Add(http::EventLoop::Now() + kCountPeriod,
                                    [this] { CountDaemons(); });
               });
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
  view->daemons_ = std::max(daemons_, 1);
  publish_(std::move(view));
}

void ControlLoop::Tick() {
  if (traffic::ForgetLeftReplicas(directory_, http::EventLoop::Now())) {
    PublishView();
  }
  loop_.Timers().Add(http::EventLoop::Now() + kForgetPeriod,
                     [this] { Tick(); });
}

}  // namespace clementinerill::gateway
