#ifndef CLEMENTINERILL_CLUSTER_FORWARD_RESULT_H_
#define CLEMENTINERILL_CLUSTER_FORWARD_RESULT_H_

#include <string>

namespace clementinerill {

/// @brief How the forward of a query ended.
enum class ForwardStatus {
  kAnswered,
  kNotSent,  ///< No link; the query did not run.
  kLost,     ///< The link closed or the deadline passed; it may have run.
};

/// @brief The end of a forward.
struct ForwardResult {
  ForwardStatus status_ = ForwardStatus::kNotSent;
  bool not_run_ = false;  ///< The answer is a refusal before running.
  std::string body_;      ///< JSON text as for the caller.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_FORWARD_RESULT_H_
