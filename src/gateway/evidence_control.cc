#include "gateway/control_loop.h"

// The parts of the control loop that exchange evidence with other daemons.
namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

// Period of the judgement of rollouts. Daemons report their evidence half as
// often.
constexpr Duration kJudgementPeriod = milliseconds(250);
constexpr int kEvidencePeriod = 2;
// Judgements between reports of what was learned of replicas alone.
constexpr int kCapacityPeriod = 4;

}  // namespace

EvidenceHandlers ControlLoop::MakeEvidenceHandlers() {
  EvidenceHandlers handlers;
  handlers.own_ = [this](mirror::RelayRequest& request) {
    const Instant now = http::EventLoop::Now();
    request.evidence_ = rollouts_.OwnEvidence(now);
    request.capacities_ = capacities_.Own(now);
  };
  handlers.sums_ = [this](mirror::RelayReply& reply) {
    const Instant now = http::EventLoop::Now();
    reply.evidence_ = rollouts_.Sums(now);
    reply.capacities_ = capacities_.Sums(now);
  };
  handlers.on_request_ = [this](const mirror::RelayRequest& request) {
    RecordReport(request.daemon_, request.evidence_, true);
    capacities_.RecordReport(request.daemon_, request.capacities_, true,
                             http::EventLoop::Now());
  };
  handlers.on_sums_ = [this](const mirror::RelayReply& reply) {
    const Instant now = http::EventLoop::Now();
    rollouts_.RecordSums(reply.evidence_, now);
    capacities_.RecordSums(reply.capacities_, now);
  };
  handlers.on_report_ = [this](const mirror::EvidenceReport& report) {
    OnReport(report);
    return OwnReport();
  };
  return handlers;
}

void ControlLoop::OnReport(const mirror::EvidenceReport& report) {
  // A daemon that follows another one names no process.
  if (!report.process_.empty()) {
    RecordReport(report.process_, report.evidence_, false);
    capacities_.RecordReport(report.process_, report.capacities_, false,
                             http::EventLoop::Now());
  }
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
  const Instant now = http::EventLoop::Now();
  return {rollouts_.Process(), rollouts_.DirectEvidence(now),
          capacities_.Direct(now)};
}

void ControlLoop::JudgeRollouts() {
  const Instant now = http::EventLoop::Now();
  const bool is_judge = follower_.IsWatcher();
  const bool has_order = rollouts_.HasOpenOrder();
  if (has_order) {
    publish_shares_(
        rollouts_.Decide({static_cast<int>(daemons_.size()), is_judge}, now));
  }
  const int period = has_order ? kEvidencePeriod : kCapacityPeriod;
  if (is_judge && ++judgements_ % period == 0 &&
      (has_order || !capacities_.Direct(now).empty())) {
    exchange_.Send(OwnReport());
  }
  loop_.Timers().Add(now + kJudgementPeriod, [this] { JudgeRollouts(); });
}

}  // namespace clementinerill::gateway
