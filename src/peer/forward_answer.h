#ifndef CLEMENTINERILL_PEER_FORWARD_ANSWER_H_
#define CLEMENTINERILL_PEER_FORWARD_ANSWER_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief The answer to a `Forward`, as it would be sent to the caller.
struct ForwardAnswer {
  uint64_t id_ = 0;      ///< `Forward::id_`.
  uint32_t status_ = 0;  ///< HTTP status.
  std::string body_;
  bool not_run_ = false;  ///< Refused before it ran.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_FORWARD_ANSWER_H_
