#include "fakes/fake_upstream/upstream_model.h"

#include <unistd.h>

#include <algorithm>

#include <nlohmann/json.hpp>

namespace clementinerill {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kCancelled = 499;
constexpr int kError = 500;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;
constexpr auto kPollInterval = std::chrono::milliseconds(5);
constexpr auto kMaxCancelWait = std::chrono::milliseconds(100);
constexpr size_t kMaxCancelledIds = 100'000;

UpstreamReply ErrorReply(int status, bool not_run) {
  UpstreamReply reply;
  reply.status_ = status;
  reply.not_run_ = not_run;
  reply.body_ = "{}";
  return reply;
}

}  // namespace

UpstreamModel::UpstreamModel(const UpstreamOptions& options)
    : options_(options),
      process_id_(
          std::to_string(getpid()) + "-" +
          std::to_string(steady_clock::now().time_since_epoch().count())),
      range_(RangeOfPartition(options.partition_, options.partitions_)),
      documents_(DocumentsInRange(range_)),
      offers_(ParseOffers(options.offers_).value_or(std::vector<Snapshot>())),
      random_(std::hash<std::string>()(process_id_)) {}

UpstreamReply UpstreamModel::Serve(
    const UpstreamQuery& query,
    const std::function<bool()>& caller_disconnected) {
  {
    Lock lock(mutex_);
    const bool muted = faults_.mute_peers_.count(query.peer_) > 0;
    if (muted) {
      // Simulates a silent connection, on which the request is never received.
      constexpr auto kMaxMuteTime = std::chrono::seconds(30);
      const auto until = steady_clock::now() + kMaxMuteTime;
      while (!caller_disconnected() && steady_clock::now() < until) {
        changed_.wait_for(lock, kPollInterval);
      }
      UpstreamReply reply;
      reply.close_ = true;
      return reply;
    }
    if (auto refused = Admit(query)) {
      return *refused;
    }
  }
  UpstreamReply reply = RunAdmitted(query, caller_disconnected);
  const Lock lock(mutex_);
  --running_;
  running_ids_.erase(query.attempt_id_);
  changed_.notify_all();
  return reply;
}

std::optional<UpstreamReply> UpstreamModel::Admit(const UpstreamQuery& query) {
  ++stats_.received_;
  if (cancelled_.count(query.attempt_id_) > 0) {
    return ErrorReply(kCancelled, true);
  }
  const bool offered =
      !query.snapshot_ || std::find(offers_.begin(), offers_.end(),
                                    *query.snapshot_) != offers_.end();
  if (!offered || offers_.empty()) {
    return ErrorReply(kConflict, true);
  }
  stats_.most_running_ = std::max(stats_.most_running_, running_ + 1);
  const bool above_cold_limit =
      faults_.cold_limit_ > 0 && running_ >= faults_.cold_limit_;
  if (above_cold_limit) {
    ++stats_.cold_over_;
  }
  if (faults_.shed_all_ || running_ >= options_.slots_ ||
      (above_cold_limit && faults_.cold_silent_)) {
    ++stats_.shed_;
    return ErrorReply(kUnavailable, true);
  }
  ++stats_.started_;
  ++running_;
  running_ids_.insert(query.attempt_id_);
  if (query.route_.find("hold") != std::string::npos) {
    ++stats_.runs_by_query_[query.query_];
  }
  return std::nullopt;
}

UpstreamReply UpstreamModel::RunAdmitted(
    const UpstreamQuery& query,
    const std::function<bool()>& caller_disconnected) {
  Lock lock(mutex_);
  if (auto ended = SimulateServiceTime(lock, query, caller_disconnected)) {
    return *ended;
  }
  const Snapshot snapshot = query.snapshot_.value_or(offers_.back());
  const bool fail = faults_.fail_all_;
  const bool drop_response = faults_.lose_answers_;
  ++stats_.finished_;
  RecordColdResponse();
  lock.unlock();
  if (fail) {
    return ErrorReply(kError, false);
  }
  UpstreamReply reply = Search(query, snapshot);
  reply.close_ = drop_response;
  return reply;
}

std::optional<UpstreamReply> UpstreamModel::SimulateServiceTime(
    Lock& lock,
    const UpstreamQuery& query,
    const std::function<bool()>& caller_disconnected) {
  constexpr double kFixedShare = 0.8;
  std::exponential_distribution<double> variable(1.0);
  const double milliseconds =
      options_.service_ms_ * faults_.slow_factor_ *
      (faults_.cold_limit_ > 0 ? faults_.cold_slow_factor_ : 1) *
      (kFixedShare + (1 - kFixedShare) * variable(random_));
  const auto end =
      steady_clock::now() +
      std::chrono::microseconds(static_cast<int64_t>(milliseconds * 1000));
  while (steady_clock::now() < end) {
    if (cancelled_.count(query.attempt_id_) > 0 || caller_disconnected()) {
      ++stats_.cancelled_;
      return ErrorReply(kCancelled, false);
    }
    if (steady_clock::now() >= query.deadline_) {
      return ErrorReply(kTimeout, false);
    }
    const auto until = std::min(end, steady_clock::now() + kPollInterval);
    changed_.wait_until(lock, std::min(until, query.deadline_));
  }
  return std::nullopt;
}

UpstreamReply UpstreamModel::Search(const UpstreamQuery& query,
                                    const Snapshot& snapshot) const {
  UpstreamReply reply;
  reply.status_ = kOk;
  reply.snapshot_ = snapshot;
  reply.range_ = range_;
  json hits = json::array();
  for (const Hit& hit : SearchDocuments(documents_, snapshot.index_version_,
                                        query.query_, query.top_)) {
    hits.push_back({{"id", hit.id_}, {"score", hit.score_}});
  }
  reply.body_ = json({{"hits", hits}, {"query", query.query_}}).dump();
  return reply;
}

void UpstreamModel::Cancel(const std::string& attempt_id) {
  Lock lock(mutex_);
  if (cancelled_.size() >= kMaxCancelledIds) {
    cancelled_.clear();
  }
  cancelled_.insert(attempt_id);
  changed_.notify_all();
  changed_.wait_for(lock, kMaxCancelWait, [this, &attempt_id] {
    return running_ids_.count(attempt_id) == 0;
  });
}

bool UpstreamModel::SetFaults(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return false;
  }
  const Lock lock(mutex_);
  faults_.slow_factor_ = document.value("slow_factor", faults_.slow_factor_);
  faults_.fail_all_ = document.value("fail_all", faults_.fail_all_);
  faults_.shed_all_ = document.value("shed_all", faults_.shed_all_);
  faults_.lose_answers_ = document.value("lose_answers", faults_.lose_answers_);
  faults_.cold_limit_ = document.value("cold_limit", faults_.cold_limit_);
  faults_.cold_answers_ = document.value("cold_answers", faults_.cold_answers_);
  faults_.cold_slow_factor_ =
      document.value("cold_slow_factor", faults_.cold_slow_factor_);
  faults_.cold_silent_ = document.value("cold_silent", faults_.cold_silent_);
  cold_responses_ = 0;
  if (document.value("mute_open_connections", false)) {
    faults_.mute_peers_ = peers_;
  }
  if (document.contains("offers")) {
    offers_ =
        ParseOffers(document["offers"].get<std::string>()).value_or(offers_);
  }
  changed_.notify_all();
  return true;
}

void UpstreamModel::AddPeer(const std::string& peer) {
  const Lock lock(mutex_);
  peers_.insert(peer);
  stats_.most_connections_ =
      std::max(stats_.most_connections_, static_cast<int>(peers_.size()));
}

void UpstreamModel::RemovePeer(const std::string& peer) {
  const Lock lock(mutex_);
  peers_.erase(peer);
  faults_.mute_peers_.erase(peer);
}

std::string UpstreamModel::StatsText() const {
  const Lock lock(mutex_);
  const json document = {{"received", stats_.received_},
                         {"started", stats_.started_},
                         {"finished", stats_.finished_},
                         {"shed", stats_.shed_},
                         {"cold_over", stats_.cold_over_},
                         {"cancelled", stats_.cancelled_},
                         {"most_running", stats_.most_running_},
                         {"most_connections", stats_.most_connections_},
                         {"running", running_},
                         {"runs_by_query", stats_.runs_by_query_}};
  return document.dump();
}

std::string UpstreamModel::Offers() const {
  const Lock lock(mutex_);
  return FormatOffers(offers_);
}

int UpstreamModel::Running() const {
  const Lock lock(mutex_);
  return running_;
}

int UpstreamModel::AnnouncedColdLimit() const {
  const Lock lock(mutex_);
  return faults_.cold_silent_ ? 0 : faults_.cold_limit_;
}

UpstreamStats UpstreamModel::Stats() const {
  const Lock lock(mutex_);
  return stats_;
}

void UpstreamModel::RecordColdResponse() {
  if (faults_.cold_limit_ == 0 || faults_.cold_answers_ == 0) {
    return;
  }
  ++cold_responses_;
  if (cold_responses_ < faults_.cold_answers_) {
    return;
  }
  cold_responses_ = 0;
  faults_.cold_limit_ *= 2;
  if (faults_.cold_limit_ >= options_.slots_) {
    faults_.cold_limit_ = 0;
  }
}

}  // namespace clementinerill
