#ifndef CLEMENTINERILL_SETTINGS_LISTEN_PORT_POLICY_H_
#define CLEMENTINERILL_SETTINGS_LISTEN_PORT_POLICY_H_

namespace clementinerill {

/// @brief The ports that a listening endpoint may have.
enum class ListenPortPolicy {
  kFixed,           ///< From 1 to 65535.
  kAllowEphemeral,  ///< Also 0: the system assigns a free port. For tests.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_LISTEN_PORT_POLICY_H_
