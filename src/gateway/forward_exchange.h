#ifndef CLEMENTINERILL_GATEWAY_FORWARD_EXCHANGE_H_
#define CLEMENTINERILL_GATEWAY_FORWARD_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>

#include "gateway/aggregator_pool.h"
#include "gateway/forward_header.h"
#include "gateway/gateway_metrics.h"
#include "gateway/wire_names.h"
#include "http/event_loop.h"
#include "http/http_message.h"
#include "traffic/forward_outcome.h"

namespace clementinerill::gateway {

/// @brief The result of a query that was sent to an aggregator.
struct ForwardResult {
  traffic::ForwardOutcome outcome_ = traffic::ForwardOutcome::kNotSent;
  http::HttpResponse response_;  ///< If answered.
  BufferHold hold_ = {};         ///< Counts the bytes of its body.
};

/// @brief Sends one query to an aggregator and waits for its response.
///
/// The aggregator confirms the start of the query first. Before that, the query
/// can be gathered elsewhere; afterwards its replicas may have run it as often
/// as the route allows.
class ForwardExchange : public std::enable_shared_from_this<ForwardExchange> {
 public:
  using Handler = std::function<void(ForwardResult)>;

  ForwardExchange(http::EventLoop& loop,
                  AggregatorPool& pool,
                  GatewayMetrics& metrics,
                  AggregatorPool::Lease lease);

  /// @brief Sends the query. `handler` is called once, not from within `Start`,
  /// unless `Cancel` is called first.
  /// @param acknowledge_by when the start must be confirmed.
  /// @param deadline when the response must have been received.
  void Start(const http::HttpRequest& request,
             Instant acknowledge_by,
             Instant deadline,
             Handler handler);

  /// @brief Closes the connection, which cancels the query at the aggregator.
  void Cancel();

  /// @brief When the aggregator confirmed the start; unset if it has not.
  [[nodiscard]] std::optional<Instant> StartedAt() const noexcept {
    return started_at_;
  }

  [[nodiscard]] const std::string& Aggregator() const noexcept {
    return lease_.aggregator_;
  }

 private:
  /// Runs a handler of the event loop; an exception ends the exchange.
  template <typename Task>
  void Contain(Task&& task) {
    loop_.Guard().Run(http::HandlerKind::kExchange, task,
                      [this] { OnException(); });
  }
  void OnException();
  void SetTimer(Instant at);
  void OnStarted(Instant deadline);
  void OnTimer();
  void OnResult(http::ExchangeResult result);
  void End(traffic::ForwardOutcome outcome) { End({outcome, {}}); }
  void End(ForwardResult result);

  http::EventLoop& loop_;
  AggregatorPool& pool_;
  GatewayMetrics& metrics_;
  AggregatorPool::Lease lease_;
  Handler handler_;
  std::optional<http::TimerQueue::Id> timer_;
  std::optional<Instant> started_at_;  ///< See `StartedAt`.
  bool is_open_ = true;
};

/// @brief Returns the request of a caller with the headers of a forwarded
/// query. `left` is the time until the caller gives up.
[[nodiscard]] http::HttpRequest MakeForwardedRequest(
    const http::HttpRequest& request,
    const ForwardHeader& header,
    const WireNames& names,
    Duration left);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_FORWARD_EXCHANGE_H_
