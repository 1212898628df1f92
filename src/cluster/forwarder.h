#ifndef CLEMENTINERILL_CLUSTER_FORWARDER_H_
#define CLEMENTINERILL_CLUSTER_FORWARDER_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/time.h"
#include "cluster/forward_result.h"
#include "peer/forward.h"
#include "peer/forward_answer.h"
#include "peer/message.h"

namespace clementinerill {

/// @brief Forwards whole queries to peers and waits for their answers.
/// Thread-safe.
class Forwarder {
 public:
  using Send = std::function<bool(const std::string&, const Message&)>;

  explicit Forwarder(Send send);

  /// @brief Sends a query to a peer and blocks until it is answered or lost.
  /// @param deadline Time at which to stop waiting for the answer.
  /// @param caller_disconnected Polled every 20 ms; the forward is cancelled
  /// once it returns true.
  [[nodiscard]] ForwardResult Run(
      const std::string& peer,
      Forward forward,
      Instant deadline,
      const std::function<bool()>& caller_disconnected);

  /// @brief Whether a forward to the peer has recently reached its deadline
  /// without an answer.
  [[nodiscard]] bool IsSuspect(const std::string& peer, Instant now);

  /// @brief Completes the forward that the answer belongs to; an answer without
  /// a pending forward is dropped.
  void OnAnswer(const std::string& peer, ForwardAnswer answer);

  /// @brief Fails pending forwards to a peer whose connection has closed.
  void OnPeerDown(const std::string& peer);

 private:
  struct Pending {
    std::string peer_;
    bool done_ = false;
    ForwardResult result_;
    std::condition_variable completed_;
  };

  const Send send_;
  std::mutex mutex_;
  std::map<uint64_t, std::shared_ptr<Pending>> pending_;
  std::map<std::string, Instant> suspect_until_;
  uint64_t last_id_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_FORWARDER_H_
