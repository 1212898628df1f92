#include "gateway/usage_exchange.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "gateway/rollout_exchange.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A peer that does not answer gets the next message after this time.
constexpr Duration kExchangeTimeout = milliseconds(900);
// Daemons exchange the time this often if there are no counts to send.
constexpr seconds kClockPeriod{3};
// Shortest time between two messages to one peer, so that several counts share
// one message.
constexpr milliseconds kMinSendPeriod{1000};
// Time without a reply of a relay from which a daemon sends its counts to the
// daemons that follow the store.
constexpr seconds kMaxRelaySilence{2};
// A daemon to which others reported this recently passes their counts on.
constexpr seconds kReaderMemory{10};
// Counts in one message; more follow in the next one.
constexpr size_t kMaxCounts = 2000;
// Bound of what is remembered of others, more than there are daemons. Counts
// that are forgotten to be known are sent again.
constexpr size_t kMaxRemembered = 4096;
// Windows ahead of the present one that are kept, for daemons whose time is not
// agreed yet.
constexpr int64_t kWindowsAhead = 1;

usage::WallTime WallNow() {
  return std::chrono::duration_cast<usage::WallTime>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace

UsageExchange::UsageExchange(http::EventLoop& loop,
                             const std::string& daemon,
                             milliseconds window_length,
                             milliseconds kept_for)
    : loop_(loop), window_length_(window_length), kept_for_(kept_for) {
  clock_.started_ = http::EventLoop::BootNow();
  counter_.started_ = clock_.started_;
  counter_.process_ = usage::ProcessName(daemon, std::random_device{}());
}

void UsageExchange::SetPeers(const std::vector<mirror::DaemonRecord>& peers) {
  std::set<std::string> names;
  for (const mirror::DaemonRecord& daemon : peers) {
    names.insert(daemon.name_);
    auto& peer = peers_[daemon.name_];
    const bool is_same = peer && peer->daemon_.address_ == daemon.address_ &&
                         peer->daemon_.port_ == daemon.port_;
    if (!is_same) {
      peer = std::make_unique<Peer>(loop_, daemon);
    }
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    it = names.count(it->first) > 0 ? std::next(it) : peers_.erase(it);
  }
}

void UsageExchange::Record(const usage::Batch& batch) {
  usage::AddBatch(counter_, batch);
  usage::EnterPending(counter_, table_, clock_, window_length_);
}

void UsageExchange::Tick() {
  const BootInstant now = http::EventLoop::BootNow();
  usage::RecordOwnClock(clock_, WallNow(), now);
  usage::Agree(clock_, now);
  if (const auto time = usage::AgreedTime(clock_, now)) {
    usage::KeepWindows(table_,
                       usage::WindowAt(*time - kept_for_, window_length_),
                       usage::WindowAt(*time, window_length_) + kWindowsAhead);
    usage::EnterPending(counter_, table_, clock_, window_length_);
    usage::MarkWindows(counter_, table_, clock_, window_length_, settle_, now);
  }
  SendToPeers(now);
}

bool UsageExchange::Collects(BootInstant now) const {
  const bool has_readers = reader_time_ && now - *reader_time_ < kReaderMemory;
  const bool has_relay = relay_time_ && now - *relay_time_ < kMaxRelaySilence;
  return role_.is_watcher_ || has_readers || !has_relay;
}

usage::Message UsageExchange::MakeMessage(BootInstant now) const {
  usage::Message message;
  message.process_ = counter_.process_;
  message.version_ = message.since_ = table_.version_;
  message.wall_ = WallNow();
  message.agreed_ = usage::AgreedTime(clock_, now);
  return message;
}

void UsageExchange::AddChanges(usage::Message& message,
                               uint64_t version,
                               usage::CountScope scope) const {
  // A version beyond the own one is of a previous process.
  message.since_ = version <= table_.version_ ? version : 0;
  auto changes = usage::ChangesAfter(table_, message.since_, scope,
                                     counter_.process_, kMaxCounts);
  message.counts_ = std::move(changes.counts_);
  message.version_ = changes.version_;
}

void UsageExchange::MergeReport(const usage::Message& message, bool is_direct) {
  for (const usage::Count& count : message.counts_) {
    usage::Merge(table_, count, is_direct);
  }
  if (known_.size() > kMaxRemembered) {
    known_.clear();
  }
  uint64_t& known = known_[message.process_];
  // Changes before those of the message are missing otherwise.
  if (message.since_ <= known) {
    known = std::max(known, message.version_);
  }
}

// Sent only if there is something to send, to request, or to ask the time.
void UsageExchange::AddTo(mirror::RelayRequest& request) {
  const BootInstant now = http::EventLoop::BootNow();
  usage::Message message = MakeMessage(now);
  message.wall_.reset();
  message.agreed_.reset();
  AddChanges(message, relay_acknowledged_, usage::CountScope::kDirect);
  if (role_.needs_counts_) {
    message.known_ = relay_;
  }
  const bool asks_time =
      !clock_.relay_ || now - clock_.relay_->taken_ >= kClockPeriod;
  relay_sent_ = now;
  if (!message.counts_.empty() || message.known_ || asks_time) {
    request.usage_ = std::move(message);
  }
}

void UsageExchange::OnRequest(const mirror::RelayRequest& request) {
  if (!request.usage_) {
    return;
  }
  const BootInstant now = http::EventLoop::BootNow();
  reader_time_ = now;
  if (received_.size() > kMaxRemembered) {
    received_.clear();
  }
  received_[request.usage_->process_] = now;
  MergeReport(*request.usage_, true);
}

void UsageExchange::AddTo(const mirror::RelayRequest& request,
                          mirror::RelayReply& reply) {
  if (!request.usage_) {
    return;
  }
  const BootInstant now = http::EventLoop::BootNow();
  const std::string& reader = request.usage_->process_;
  usage::Message message = MakeMessage(now);
  message.wall_.reset();
  if (const auto& known = request.usage_->known_) {
    AddChanges(message,
               known->process_ == counter_.process_ ? known->version_ : 0,
               usage::CountScope::kAll);
  }
  message.known_ = usage::TablePosition{reader, known_[reader]};
  const auto received = received_.find(reader);
  if (received != received_.end()) {
    message.held_ =
        std::chrono::duration_cast<milliseconds>(now - received->second);
    received_.erase(received);
  }
  reply.usage_ = std::move(message);
}

void UsageExchange::OnReply(const mirror::RelayReply& reply) {
  const BootInstant now = http::EventLoop::BootNow();
  relay_time_ = now;
  if (!reply.usage_) {
    return;
  }
  const usage::Message& message = *reply.usage_;
  if (message.agreed_) {
    usage::RecordRelayTime(clock_, *message.agreed_,
                           {relay_sent_, now, message.held_});
    usage::Agree(clock_, now);
  }
  for (const usage::Count& count : message.counts_) {
    usage::Merge(table_, count, false);
  }
  const bool is_known_relay = message.process_ == relay_.process_;
  if (message.since_ <= (is_known_relay ? relay_.version_ : 0)) {
    relay_ = {message.process_, message.version_};
  } else if (!is_known_relay) {
    relay_ = {message.process_, 0};
  }
  const auto& known = message.known_;
  relay_acknowledged_ =
      known && known->process_ == counter_.process_ ? known->version_ : 0;
}

std::optional<usage::Message> UsageExchange::OnReport(
    const std::optional<usage::Message>& message) {
  if (!message) {
    return std::nullopt;
  }
  const BootInstant now = http::EventLoop::BootNow();
  MergeReport(*message, false);
  usage::Message response = MakeMessage(now);
  if (Collects(now) || role_.needs_counts_) {
    response.known_ =
        usage::TablePosition{message->process_, known_[message->process_]};
  }
  return response;
}

void UsageExchange::SendToPeers(BootInstant now) {
  if (!Collects(now)) {
    return;
  }
  for (const auto& [name, peer] : peers_) {
    if (!peer->waiting_ && now - peer->sent_ >= kMinSendPeriod) {
      SendTo(*peer, now);
    }
  }
}

void UsageExchange::SendTo(Peer& peer, BootInstant now) {
  mirror::EvidenceReport report;
  usage::Message message = MakeMessage(now);
  message.agreed_.reset();
  message.wall_.reset();
  if (peer.known_) {
    AddChanges(message, peer.known_->version_, usage::CountScope::kDirect);
  }
  if (message.counts_.empty() && now - peer.sent_ < kClockPeriod) {
    return;
  }
  report.usage_ = std::move(message);
  peer.waiting_ = true;
  peer.sent_ = now;
  http::ClientRequest request;
  request.method_ = "POST";
  request.target_ = kEvidencePath;
  request.body_ = mirror::Encode(report);
  request.content_type_ = "application/cbor";
  request.timeout_ = kExchangeTimeout;
  peer.client_.Call(std::move(request),
                    [this, &peer](const http::ClientResponse& response) {
                      OnResponse(peer, response);
                    });
}

void UsageExchange::OnResponse(Peer& peer,
                               const http::ClientResponse& response) {
  const BootInstant now = http::EventLoop::BootNow();
  peer.waiting_ = false;
  std::string failure;
  if (response.status_ != 200) {
    failure = http::DescribeFailure(response);
  } else if (const auto report = mirror::DecodeEvidenceReport(response.body_);
             !report) {
    failure = report.error().description_;
  } else if (report->usage_) {
    const usage::Message& message = *report->usage_;
    peer.known_ = message.known_;
    if (peer.known_ && peer.known_->process_ != counter_.process_) {
      peer.known_->version_ = 0;
    }
    if (message.wall_) {
      usage::RecordClock(clock_, peer.daemon_.name_, *message.wall_,
                         {peer.sent_, now, message.held_});
      usage::Agree(clock_, now);
    }
  }
  if (!failure.empty()) {
    static RateLimitedLogger lines;
    lines.Log(http::EventLoop::Now(), LogLevel::kInfo, "usage",
              "counts not sent to a daemon",
              {{"daemon", peer.daemon_.name_}, {"reason", failure}});
  }
}

}  // namespace clementinerill::gateway
