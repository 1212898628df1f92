#ifndef CLEMENTINERILL_SETTINGS_LISTEN_PORTS_H_
#define CLEMENTINERILL_SETTINGS_LISTEN_PORTS_H_

namespace clementinerill {

/// @brief Which ports a listening endpoint may name.
enum class ListenPorts {
  kFixed,     ///< From 1 to 65535.
  kMayBeAny,  ///< Also 0, with which the system chooses a port; for tests.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_LISTEN_PORTS_H_
