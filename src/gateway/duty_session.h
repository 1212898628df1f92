#ifndef CLEMENTINERILL_GATEWAY_DUTY_SESSION_H_
#define CLEMENTINERILL_GATEWAY_DUTY_SESSION_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "duty/duty.h"
#include "gateway/duty_options.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_options.h"
#include "http/client.h"
#include "http/event_loop.h"
#include "mirror/daemon_record.h"
#include "traffic/duty_status.h"

namespace clementinerill::gateway {

/// @brief Takes part in the election of the holder of a duty: sends the reads
/// and conditional writes that the library `duty` decides on.
class DutySession {
 public:
  /// @param options must name the duty.
  /// @param on_status called when `Status` has changed.
  DutySession(http::EventLoop& loop,
              const GatewayOptions& options,
              GatewayMetrics& metrics,
              std::function<void()> on_status);
  ~DutySession();
  DutySession(const DutySession&) = delete;
  DutySession& operator=(const DutySession&) = delete;

  /// @brief Sets the registered daemons, which determine the candidates.
  void SetDaemons(const std::vector<mirror::DaemonRecord>& daemons);

  /// @brief For `duty::MayCall` and `duty::PayloadInForce`.
  [[nodiscard]] const duty::State& State() const noexcept { return state_; }

  /// @brief Replaces the payload; see `duty::SetPayload`.
  bool SetPayload(std::string payload);

  /// @brief Sets what is called after each event of the election, such as the
  /// confirmation of a payload.
  void SetOnEvent(std::function<void()> on_event) {
    on_event_ = std::move(on_event);
  }

  [[nodiscard]] traffic::DutyStatus Status() const;

 private:
  void Step();
  void Schedule(std::optional<BootInstant> at, BootInstant now);
  void SendRead(const duty::Action& action);
  void SendWrite(const duty::Action& action);
  void OnRead(const http::ClientResponse& response);
  void OnWritten(int64_t token, const http::ClientResponse& response);
  [[nodiscard]] duty::ReadEvent DecodeRead(
      const http::ClientResponse& response) const;
  void OnEvent();
  void Report(BootInstant now);
  void ReportHolding(BootInstant now);
  void ReportLoss();

  http::EventLoop& loop_;
  const GatewayOptions& options_;
  const DutyOptions duty_;
  GatewayMetrics& metrics_;
  const std::function<void()> on_status_;
  std::function<void()> on_event_ = [] {};
  duty::State state_;
  http::Client client_;
  std::optional<http::TimerQueue::Id> timer_;
  std::optional<int64_t> held_token_;  ///< As last reported.
  traffic::DutyStatus status_;         ///< As last reported.
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_DUTY_SESSION_H_
