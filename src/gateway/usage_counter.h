#ifndef CLEMENTINERILL_GATEWAY_USAGE_COUNTER_H_
#define CLEMENTINERILL_GATEWAY_USAGE_COUNTER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "http/event_loop.h"
#include "usage/own_counter.h"

namespace clementinerill::traffic {
struct Query;
}  // namespace clementinerill::traffic

namespace clementinerill::gateway {

/// @brief Counts the requests of organisations on the traffic thread and passes
/// them on in batches.
class UsageCounter {
 public:
  using OnBatch = std::function<void(usage::Batch)>;

  /// @brief Passes a batch on several times a second. Before, and without a
  /// call, nothing is counted.
  void Start(http::EventLoop& loop, OnBatch on_batch);

  /// @brief Counts a request of `organisation` that a replica began to run at
  /// `begin`; none if the name is empty.
  void Count(const std::string& organisation, Instant begin);

 private:
  void Flush();

  http::EventLoop* loop_ = nullptr;
  OnBatch on_batch_;
  usage::Batch batch_;
};

/// @brief Counts a query that has ended, if a replica may have run it and this
/// daemon holds the connection of its caller.
void CountEndedQuery(UsageCounter& counter, const traffic::Query& query);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_USAGE_COUNTER_H_
