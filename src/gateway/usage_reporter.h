#ifndef CLEMENTINERILL_GATEWAY_USAGE_REPORTER_H_
#define CLEMENTINERILL_GATEWAY_USAGE_REPORTER_H_

#include <functional>
#include <string>
#include <vector>

#include "duty/state.h"
#include "gateway/gateway_metrics.h"
#include "gateway/usage_exchange.h"
#include "gateway/usage_options.h"
#include "http/client.h"
#include "traffic/usage_status.h"
#include "usage/usage.h"

namespace clementinerill::gateway {

/// @brief Fixes windows in the duty object and reports them to the usage API
/// while this daemon holds the duty.
class UsageReporter {
 public:
  UsageReporter(http::EventLoop& loop,
                const std::string& daemon,
                const UsageOptions& options,
                const UsageExchange& exchange,
                GatewayMetrics& metrics);

  /// @brief Replaces the payload of the duty; see `duty::SetPayload`.
  using SetPayload = std::function<bool(std::string payload)>;

  /// @brief Sets the election of the duty, which must outlive this object.
  void SetDuty(const duty::State& state, SetPayload set_payload);

  void SetDaemons(std::vector<std::string> names) {
    daemons_ = std::move(names);
  }

  /// @brief Whether this daemon reports, or may do so next.
  [[nodiscard]] bool NeedsCounts() const;

  /// @brief Fixes and sends what is due.
  void Tick();

  [[nodiscard]] traffic::UsageStatus Status() const;

 private:
  /// Returns the book in the store as far as it is known, or null.
  const usage::ReportBook* ReadBook();
  void FixWindows(BootInstant now);
  void LogRevision(const usage::BookRevision& revision);
  void SendNext(BootInstant now);
  void OnResponse(const usage::WindowReport& report,
                  BootInstant sent,
                  const http::ClientResponse& response);
  void LogResponse(const usage::WindowReport& report,
                   usage::ReportOutcome outcome,
                   BootInstant sent,
                   const http::ClientResponse& response);

  const std::string daemon_;
  const UsageOptions& options_;
  const UsageExchange& exchange_;
  GatewayMetrics& metrics_;
  http::Client client_;
  const duty::State* duty_ = nullptr;
  SetPayload set_payload_;
  std::vector<std::string> daemons_;  ///< Names of those registered.
  std::string book_text_;             ///< Of `book_`.
  usage::ReportBook book_;
  bool has_book_ = false;
  usage::ReportMemory memory_;
  usage::ReportSender sender_;
  BootInstant next_fix_;  ///< When to look for windows to fix again.
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_USAGE_REPORTER_H_
