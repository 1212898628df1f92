// The part of the control loop that exchanges evidence on rollouts with other
// daemons and judges it.
#include "gateway/control_loop.h"

namespace clementinerill::gateway {
namespace {

// Period of the judgement of rollouts. Daemons report their evidence half as
// often.
constexpr Duration kJudgementPeriod = std::chrono::milliseconds(250);

}  // namespace

EvidenceHandlers ControlLoop::MakeEvidenceHandlers() {
  EvidenceHandlers handlers;
  handlers.add_to_request_ = [this](mirror::RelayRequest& request) {
    request.evidence_ = rollouts_.OwnEvidence(http::EventLoop::Now());
    if (usage_) {
      usage_->Exchange().AddTo(request);
    }
  };
  handlers.add_to_reply_ = [this](const mirror::RelayRequest& request,
                                  mirror::RelayReply& reply) {
    reply.evidence_ = rollouts_.Sums(http::EventLoop::Now());
    if (usage_) {
      usage_->Exchange().AddTo(request, reply);
    }
  };
  handlers.on_request_ = [this](const mirror::RelayRequest& request) {
    if (!request.evidence_.empty()) {
      RecordReport(request.daemon_, request.evidence_, true);
    }
    if (usage_) {
      usage_->Exchange().OnRequest(request);
    }
  };
  handlers.on_reply_ = [this](const mirror::RelayReply& reply) {
    rollouts_.RecordSums(reply.evidence_, http::EventLoop::Now());
    if (usage_) {
      usage_->Exchange().OnReply(reply);
    }
  };
  handlers.on_report_ = [this](const mirror::EvidenceReport& report) {
    RecordReport(report.process_, report.evidence_, false);
    mirror::EvidenceReport response = OwnReport();
    if (usage_) {
      response.usage_ = usage_->Exchange().OnReport(report.usage_);
    }
    return response;
  };
  return handlers;
}

void ControlLoop::RecordUsage(const usage::Batch& batch) {
  if (usage_) {
    usage_->Exchange().Record(batch);
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
  return {rollouts_.Process(),
          rollouts_.DirectEvidence(http::EventLoop::Now())};
}

void ControlLoop::StartJudgements() {
  JudgeRollouts();
  loop_.Timers().AddPeriodic(kJudgementPeriod, [this] { JudgeRollouts(); });
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
}

}  // namespace clementinerill::gateway
