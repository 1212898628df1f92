#ifndef CLEMENTINERILL_MEMBERSHIP_MEMBER_H_
#define CLEMENTINERILL_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief The entry of one daemon in the roster.
///
/// `incarnation_` is a random number chosen at process start; zero means that
/// the daemon has not announced itself yet.
struct Member {
  std::string name_;
  std::string address_;
  uint16_t port_ = 0;
  uint32_t incarnation_ = 0;
  bool listed_ = false;   ///< Present in the platform's VM list.
  bool leaving_ = false;  ///< Reported as leaving by the list or the daemon.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_MEMBER_H_
