#ifndef CLEMENTINERILL_CLUSTER_FORWARD_RESULT_H_
#define CLEMENTINERILL_CLUSTER_FORWARD_RESULT_H_

#include <string>

namespace clementinerill {

/// @brief Outcome of forwarding a query to a peer.
enum class ForwardStatus {
  kAnswered,
  kNotSent,  ///< Not queued to the peer; the query did not run.
  kLost,     ///< No answer: the connection closed, the deadline passed or the
             ///< caller disconnected. The query may have run.
};

/// @brief Outcome and answer of a forwarded query.
struct ForwardResult {
  ForwardStatus status_ = ForwardStatus::kNotSent;
  bool not_run_ = false;  ///< The peer refused the query before running it.
  std::string body_;      ///< JSON text to return to the caller.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_FORWARD_RESULT_H_
