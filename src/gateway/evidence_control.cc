#include "gateway/control_loop.h"

// The parts of the control loop that exchange evidence with other daemons.
namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

// Period of the judgement of rollouts. Daemons report their evidence half as
// often.
constexpr Duration kJudgementPeriod = milliseconds(250);

}  // namespace

EvidenceHandlers ControlLoop::MakeEvidenceHandlers() {
  using Evidence = EvidenceHandlers::Evidence;
  EvidenceHandlers handlers;
  handlers.own_ = [this] {
    return rollouts_.OwnEvidence(http::EventLoop::Now());
  };
  handlers.sums_ = [this] { return rollouts_.Sums(http::EventLoop::Now()); };
  handlers.on_request_ = [this](const mirror::RelayRequest& request) {
    RecordReport(request.daemon_, request.evidence_, true);
  };
  handlers.on_sums_ = [this](const Evidence& sums) {
    rollouts_.RecordSums(sums, http::EventLoop::Now());
  };
  handlers.on_report_ = [this](const mirror::EvidenceReport& report) {
    RecordReport(report.process_, report.evidence_, false);
    return OwnReport();
  };
  return handlers;
}

void ControlLoop::RecordEvidence(const traffic::VersionComparison& evidence) {
  rollouts_.RecordOwn(evidence, http::EventLoop::Now());
}

void ControlLoop::RecordReport(
    const std::string& process,
    const std::vector<mirror::RolloutEvidence>& evidence,
    bool is_direct) {
  if (rollouts_.RecordReport(process, evidence, is_direct,
                             http::EventLoop::Now())) {
    PublishView();
  }
}

// The evidence of a daemon that follows another one is part of the report of
// that one.
mirror::EvidenceReport ControlLoop::OwnReport() const {
  if (!follower_.IsWatcher()) {
    return {};
  }
  return {rollouts_.Process(),
          rollouts_.DirectEvidence(http::EventLoop::Now())};
}

void ControlLoop::JudgeRollouts() {
  const Instant now = http::EventLoop::Now();
  if (rollouts_.HasOpenOrder()) {
    const bool is_judge = follower_.IsWatcher();
    publish_shares_(
        rollouts_.Decide({static_cast<int>(daemons_.size()), is_judge}, now));
    if (is_judge && ++judgements_ % 2 == 0) {
      exchange_.Send(OwnReport());
    }
  }
  loop_.Timers().Add(now + kJudgementPeriod, [this] { JudgeRollouts(); });
}

}  // namespace clementinerill::gateway
