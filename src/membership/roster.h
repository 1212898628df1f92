#ifndef CLEMENTINERILL_MEMBERSHIP_ROSTER_H_
#define CLEMENTINERILL_MEMBERSHIP_ROSTER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/member.h"

namespace clementinerill {

/// @brief All known daemons by name.
///
/// Sources: the platform's VM list, which lags, and announcements of the
/// daemons themselves, which supply address, incarnation and leaving earlier
/// than the list does. Only listed members vote and hold seats: the list is
/// the one source that orders additions and removals.
struct Roster {
  uint64_t list_version_ = 0;
  std::map<std::string, Member> members_;
};

/// @brief Applies a VM list; returns whether it was newer and was applied.
///
/// Members missing from the list become unlisted and are removed unless they
/// have announced themselves. An address announced by the daemon is kept.
bool ApplyVmList(Roster& roster,
                 uint64_t list_version,
                 const std::vector<Member>& listed);

/// @brief Applies what a daemon says about itself; returns whether anything
/// changed.
bool ApplyAnnouncement(Roster& roster, const Member& announced);

/// @brief Removes an unlisted member, for example after its link has closed.
void ForgetUnlisted(Roster& roster, const std::string& name);

/// @brief Names of the listed members, sorted.
[[nodiscard]] std::vector<std::string> ListedNames(const Roster& roster);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_ROSTER_H_
