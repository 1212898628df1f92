#ifndef CLEMENTINERILL_PEER_HELLO_H_
#define CLEMENTINERILL_PEER_HELLO_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief First message on a link, in both directions: who the sender is and
/// where it listens.
struct Hello {
  std::string name_;
  std::string address_;
  uint16_t port_ = 0;
  uint32_t incarnation_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_HELLO_H_
