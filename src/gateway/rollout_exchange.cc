#include "gateway/rollout_exchange.h"

#include <set>
#include <utility>

#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

// A response takes milliseconds; a peer that does not answer gets the next
// report after this time.
constexpr Duration kReportTimeout = std::chrono::milliseconds(900);

bool HasSameAddress(const mirror::DaemonRecord& a,
                    const mirror::DaemonRecord& b) {
  return a.address_ == b.address_ && a.port_ == b.port_;
}

}  // namespace

void RolloutExchange::SetPeers(const std::vector<mirror::DaemonRecord>& peers) {
  std::set<std::string> names;
  for (const mirror::DaemonRecord& daemon : peers) {
    names.insert(daemon.name_);
    auto& peer = peers_[daemon.name_];
    if (!peer || !HasSameAddress(peer->daemon_, daemon)) {
      peer = std::make_unique<Peer>(loop_, daemon);
    }
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    it = names.count(it->first) > 0 ? std::next(it) : peers_.erase(it);
  }
}

void RolloutExchange::Send(const mirror::EvidenceReport& report) {
  const std::string body = mirror::Encode(report);
  for (const auto& [name, peer] : peers_) {
    if (peer->waiting_) {
      continue;
    }
    peer->waiting_ = true;
    http::ClientRequest request;
    request.method_ = "POST";
    request.target_ = kEvidencePath;
    request.body_ = body;
    request.content_type_ = "application/cbor";
    request.timeout_ = kReportTimeout;
    peer->client_.Call(std::move(request),
                       [this, &peer = *peer](const http::ClientResponse& r) {
                         OnResponse(peer, r);
                       });
  }
}

void RolloutExchange::OnResponse(Peer& peer,
                                 const http::ClientResponse& response) {
  peer.waiting_ = false;
  std::string failure;
  if (response.status_ != 200) {
    failure = http::DescribeFailure(response);
  } else if (const auto report = mirror::DecodeEvidenceReport(response.body_)) {
    on_report_(*report);
  } else {
    failure = report.error().description_;
  }
  if (!failure.empty()) {
    static RateLimitedLogger lines;
    lines.Log(http::EventLoop::Now(), LogLevel::kInfo, "rollout",
              "no evidence from a daemon",
              {{"daemon", peer.daemon_.name_}, {"reason", failure}});
  }
}

}  // namespace clementinerill::gateway
