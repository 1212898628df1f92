#ifndef CLEMENTINERILL_TESTS_GATEWAY_FAKE_DUTY_H_
#define CLEMENTINERILL_TESTS_GATEWAY_FAKE_DUTY_H_

#include <memory>
#include <optional>
#include <string>

#include "duty/duty.h"
#include "http/event_loop.h"

namespace clementinerill::gateway {

/// The object of the duty in a store, without a network.
struct FakeDutyObject {
  std::optional<duty::Record> record_;
  int64_t revision_ = 1;
  int64_t era_ = 1;
  bool is_down_ = false;
  int writes_ = 0;
};

/// Runs the election of one daemon against a `FakeDutyObject`.
class FakeDuty {
 public:
  FakeDuty(http::EventLoop& loop,
           FakeDutyObject& object,
           const std::string& daemon,
           int rank)
      : loop_(loop), object_(object) {
    static int processes = 0;
    state_.rules_ = duty::MakeRules(std::chrono::milliseconds(1500),
                                    std::chrono::milliseconds(150));
    state_.holder_ = daemon;
    state_.process_ = daemon + "/" + std::to_string(++processes);
    duty::SetCandidateRank(state_, rank);
    Tick();
  }

  ~FakeDuty() { loop_.Timers().Cancel(timer_); }
  FakeDuty(const FakeDuty&) = delete;
  FakeDuty& operator=(const FakeDuty&) = delete;

  [[nodiscard]] duty::State& State() { return state_; }

  /// Ends the connection of this daemon to the store.
  void CutOff() { is_cut_off_ = true; }

  /// See `duty::SetPayload`.
  bool SetPayload(std::string payload) {
    if (!duty::SetPayload(state_, std::move(payload),
                          http::EventLoop::BootNow())) {
      return false;
    }
    Run();
    return true;
  }

  void Run() {
    if (is_cut_off_) {
      return;
    }
    const BootInstant now = http::EventLoop::BootNow();
    const duty::Action action = duty::NextAction(state_, now);
    if (action.kind_ == duty::ActionKind::kRead) {
      duty::ApplyRead(
          state_,
          {!object_.is_down_, object_.era_, object_.record_, object_.revision_},
          now);
    } else if (action.kind_ == duty::ActionKind::kWrite) {
      duty::ApplyWrite(state_, Write(action), now);
    }
  }

 private:
  duty::WriteEvent Write(const duty::Action& action) {
    const bool is_allowed =
        action.revision_
            ? object_.record_ && *action.revision_ == object_.revision_
            : !object_.record_;
    if (object_.is_down_ || !is_allowed) {
      return {false, object_.era_, 0};
    }
    object_.record_ = action.record_;
    ++object_.writes_;
    return {true, object_.era_, ++object_.revision_};
  }

  void Tick() {
    Run();
    timer_ = loop_.Timers().Add(
        http::EventLoop::Now() + std::chrono::milliseconds(20),
        [this] { Tick(); });
  }

  http::EventLoop& loop_;
  FakeDutyObject& object_;
  duty::State state_;
  http::TimerQueue::Id timer_{};
  bool is_cut_off_ = false;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_TESTS_GATEWAY_FAKE_DUTY_H_
