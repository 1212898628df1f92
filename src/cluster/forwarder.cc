#include "cluster/forwarder.h"

#include <algorithm>
#include <utility>

#include "peer/forward_cancel.h"

namespace clementinerill {
namespace {

constexpr auto kCallerPollInterval = std::chrono::milliseconds(20);
// Approximately the time in which membership moves the seats of a frozen daemon
// to other members.
constexpr auto kSuspectDuration = std::chrono::seconds(2);

Instant Now() noexcept {
  return std::chrono::steady_clock::now();
}

}  // namespace

Forwarder::Forwarder(Send send) : send_(std::move(send)) {}

ForwardResult Forwarder::Run(const std::string& peer,
                             Forward forward,
                             Instant deadline,
                             const std::function<bool()>& caller_disconnected) {
  const auto pending = std::make_shared<Pending>();
  pending->peer_ = peer;
  {
    const std::lock_guard lock(mutex_);
    forward.id_ = ++last_id_;
    pending_[forward.id_] = pending;
  }
  const uint64_t id = forward.id_;
  const bool sent = send_(peer, forward);
  std::unique_lock lock(mutex_);
  bool disconnected = false;
  while (sent && !pending->done_ && !disconnected && Now() < deadline) {
    const Instant wake = std::min(deadline, Now() + kCallerPollInterval);
    pending->completed_.wait_until(lock, wake);
    lock.unlock();
    disconnected = caller_disconnected();
    lock.lock();
  }
  pending_.erase(id);
  if (!sent) {
    return {};
  }
  if (!pending->done_) {
    suspect_until_[peer] =
        Now() + (disconnected ? Duration(0) : kSuspectDuration);
    lock.unlock();
    send_(peer, ForwardCancel{id});
    return {ForwardStatus::kLost, false, {}};
  }
  return std::move(pending->result_);
}

bool Forwarder::IsSuspect(const std::string& peer, Instant now) {
  const std::lock_guard lock(mutex_);
  const auto found = suspect_until_.find(peer);
  return found != suspect_until_.end() && now < found->second;
}

void Forwarder::OnAnswer(const std::string& peer, ForwardAnswer answer) {
  const std::lock_guard lock(mutex_);
  const auto found = pending_.find(answer.id_);
  if (found == pending_.end() || found->second->peer_ != peer) {
    return;
  }
  Pending& pending = *found->second;
  pending.done_ = true;
  pending.result_ = {ForwardStatus::kAnswered, answer.not_run_,
                     std::move(answer.body_)};
  pending.completed_.notify_one();
}

void Forwarder::OnPeerDown(const std::string& peer) {
  const std::lock_guard lock(mutex_);
  for (auto& [id, pending] : pending_) {
    if (pending->peer_ == peer && !pending->done_) {
      pending->done_ = true;
      pending->result_ = {ForwardStatus::kLost, false, {}};
      pending->completed_.notify_one();
    }
  }
}

}  // namespace clementinerill
