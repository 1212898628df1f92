#ifndef CLEMENTINERILL_PEER_FORWARD_ANSWER_H_
#define CLEMENTINERILL_PEER_FORWARD_ANSWER_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief The response to a `Forward`, to be returned to the caller.
struct ForwardAnswer {
  uint64_t id_ = 0;      ///< `Forward::id_` of the request.
  uint32_t status_ = 0;  ///< HTTP status.
  std::string body_;
  bool not_run_ = false;  ///< Refused before execution.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_FORWARD_ANSWER_H_
