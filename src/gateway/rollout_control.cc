#include "gateway/rollout_control.h"

#include <utility>

#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using traffic::RolloutOrder;
using traffic::RolloutState;

constexpr Duration kWriteTimeout = std::chrono::milliseconds(1500);

std::string StateName(RolloutState state) {
  return std::string(NameOf(traffic::kRolloutStateNames, state));
}

}  // namespace

RolloutControl::RolloutControl(http::EventLoop& loop,
                               const GatewayOptions& options)
    : options_(options),
      writer_(loop, options.store_.address_, options.store_.port_) {}

void RolloutControl::Take(const mirror::KindChanges& changes) {
  const auto before = std::exchange(
      orders_,
      changes.is_complete_ ? std::map<std::string, KnownOrder>() : orders_);
  for (const StoredObject& object : changes.present_) {
    auto order = options_.port_.decode_rollout_(object, http::EventLoop::Now());
    if (!order) {
      Log(LogLevel::kWarning, "rollout", "order is not usable",
          {{"name", object.name_}, {"error", Format(order.error())}});
      continue;
    }
    const auto known = before.find(order->service_);
    if (known != before.end() && IsSameOrder(known->second.order_, *order)) {
      order->ordered_ = known->second.order_.ordered_;
    }
    Log(LogLevel::kInfo, "rollout", "order",
        {{"service", order->service_},
         {"target_version", order->target_version_},
         {"length_ms", order->length_},
         {"state", StateName(order->state_)}});
    orders_[order->service_] = {*order, object.revision_};
  }
  for (const std::string& name : changes.removed_) {
    Log(LogLevel::kInfo, "rollout", "order removed", {{"service", name}});
    orders_.erase(name);
  }
}

std::vector<RolloutOrder> RolloutControl::Orders() const {
  std::vector<RolloutOrder> orders;
  for (const auto& [service, known] : orders_) {
    orders.push_back(known.order_);
  }
  return orders;
}

void RolloutControl::Decide(const std::string& service, RolloutState state) {
  const auto found = orders_.find(service);
  if (writing_ || found == orders_.end() ||
      found->second.order_.state_ != RolloutState::kInProgress) {
    return;
  }
  const KnownOrder& known = found->second;
  writing_ = true;
  http::ClientCall call;
  call.method_ = "PUT";
  call.target_ = options_.port_.rollout_status_target_(service);
  call.body_ = options_.port_.encode_rollout_status_(known.order_, state,
                                                     known.revision_);
  call.timeout_ = kWriteTimeout;
  writer_.Call(std::move(call),
               [this, service, state](const http::ClientReply& reply) {
                 writing_ = false;
                 // 409: another daemon decided first; its verdict arrives as a
                 // change.
                 Log(LogLevel::kInfo, "rollout", "verdict written",
                     {{"service", service},
                      {"state", StateName(state)},
                      {"status", reply.status_}});
               });
}

}  // namespace clementinerill::gateway
