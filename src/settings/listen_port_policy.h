#ifndef CLEMENTINERILL_SETTINGS_LISTEN_PORT_POLICY_H_
#define CLEMENTINERILL_SETTINGS_LISTEN_PORT_POLICY_H_

namespace clementinerill {

/// @brief Which ports a listening endpoint may name.
enum class ListenPortPolicy {
  kFixed,           ///< From 1 to 65535.
  kAllowEphemeral,  ///< Also 0, with which the system chooses a port; for
                    ///< tests.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_LISTEN_PORT_POLICY_H_
