#ifndef CLEMENTINERILL_PEER_HELLO_H_
#define CLEMENTINERILL_PEER_HELLO_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief First message on a link in each direction; identifies the sender and
/// its listen address.
struct Hello {
  std::string name_;
  std::string address_;
  uint16_t port_ = 0;
  uint32_t incarnation_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_HELLO_H_
