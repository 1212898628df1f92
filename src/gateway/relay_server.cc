#include "gateway/relay_server.h"

#include <algorithm>
#include <utility>

#include "gateway/listener_limits.h"
#include "gateway/rollout_exchange.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

// Upper limit of the long-poll time that a reader may request.
constexpr milliseconds kMaxRelayWait{8000};

void RespondCbor(const std::shared_ptr<http::ServerConnection>& caller,
                 std::string body) {
  caller->Respond(
      {200, {{"Content-Type", "application/cbor"}}, std::move(body), true},
      false);
}

bool HasChanges(const mirror::KindChanges& changes) {
  return changes.is_full_list_ || !changes.upserted_.empty() ||
         !changes.removed_.empty();
}

}  // namespace

RelayServer::RelayServer(http::EventLoop& loop,
                         const std::map<std::string, FollowedKind>& kinds,
                         const EvidenceHandlers& evidence)
    : loop_(loop),
      kinds_(kinds),
      evidence_(evidence),
      listener_(loop,
                [this](const Caller& caller, const http::HttpRequest& request) {
                  OnRequest(caller, request);
                }) {}

void RelayServer::Listen(const GatewayOptions& options) {
  ListenForReaders(listener_, options);
}

void RelayServer::OnRequest(const Caller& caller,
                            const http::HttpRequest& request) {
  int status = 404;
  if (request.target_ == kLivenessPath) {
    caller->Respond({200, {}, "", true}, true);
    return;
  }
  if (request.target_ == kRelayPath) {
    if (const auto decoded = mirror::DecodeRelayRequest(request.body_)) {
      OnRelayRequest(caller, *decoded);
      return;
    }
    status = 400;
  } else if (request.target_ == kEvidencePath && evidence_.on_report_) {
    if (const auto decoded = mirror::DecodeEvidenceReport(request.body_)) {
      RespondCbor(caller, mirror::Encode(evidence_.on_report_(*decoded)));
      return;
    }
    status = 400;
  }
  http::HttpResponse response;
  response.status_ = status;
  caller->Respond(response, false);
}

void RelayServer::OnRelayRequest(const Caller& caller,
                                 const mirror::RelayRequest& request) {
  if (evidence_.on_request_) {
    evidence_.on_request_(request);
  }
  const WaitingReader reader{caller, request, http::EventLoop::BootNow(), {}};
  if (TryReply(reader, request.wait_ <= milliseconds(0))) {
    return;
  }
  const auto position = waiting_readers_.insert(waiting_readers_.end(), reader);
  const auto wait = std::min(request.wait_, kMaxRelayWait);
  position->timer_ =
      loop_.Timers().Add(http::EventLoop::Now() + wait, [this, position] {
        const WaitingReader waiting = *position;
        waiting_readers_.erase(position);
        (void)TryReply(waiting, true);
      });
}

bool RelayServer::TryReply(const WaitingReader& reader,
                           bool even_if_unchanged) {
  const mirror::RelayRequest& request = reader.request_;
  const BootInstant boot_now = http::EventLoop::BootNow();
  const Instant now = http::EventLoop::Now();
  mirror::RelayReply reply;
  bool has_changes = even_if_unchanged;
  for (const auto& [kind, followed] : kinds_) {
    if (mirror::KnownRevision(followed.mirror_) == 0) {
      continue;
    }
    const auto known = request.revisions_.find(kind);
    const int64_t revision =
        known == request.revisions_.end() ? 0 : known->second;
    // Daemons of the previous version name no era.
    const auto known_era = request.eras_.find(kind);
    const int64_t era = known_era == request.eras_.end() ? followed.mirror_.era_
                                                         : known_era->second;
    mirror::RelayedKind& relayed = reply.kinds_[kind];
    relayed.changes_ = mirror::ChangesSince(followed.mirror_, era, revision);
    relayed.age_ = std::chrono::duration_cast<milliseconds>(
        mirror::Age(followed.mirror_, now));
    if (sends_proof_) {
      relayed.proof_age_ = mirror::ProofAge(followed.mirror_, boot_now);
    }
    // The revision also advances with changes of other kinds.
    has_changes =
        has_changes || followed.mirror_.era_ > era ||
        (followed.mirror_.era_ == era &&
         followed.mirror_.revision_ > revision && HasChanges(relayed.changes_));
  }
  if (!has_changes) {
    return false;
  }
  if (evidence_.add_to_reply_) {
    evidence_.add_to_reply_(request, reply);
  }
  if (sends_proof_) {
    reply.held_ =
        std::chrono::duration_cast<milliseconds>(boot_now - reader.received_);
  }
  RespondCbor(reader.caller_, mirror::Encode(reply));
  return true;
}

void RelayServer::ReplyToWaitingReaders() {
  for (auto it = waiting_readers_.begin(); it != waiting_readers_.end();) {
    bool is_waiting = false;
    loop_.Guard().Run(
        http::HandlerKind::kRequest,
        [&] { is_waiting = !TryReply(*it, false); },
        [&] { it->caller_->Close(); });
    if (is_waiting) {
      ++it;
      continue;
    }
    loop_.Timers().Cancel(it->timer_);
    it = waiting_readers_.erase(it);
  }
}

}  // namespace clementinerill::gateway
