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
/// The sources are the platform's VM list, which is delayed, and announcements
/// of the daemons themselves, which report address, incarnation and leaving
/// earlier than the list. Only listed members vote and hold seats, because the
/// list is the single source that orders additions and removals.
struct Roster {
  uint64_t list_version_ = 0;
  std::map<std::string, Member> members_;
};

/// @brief Applies a VM list; returns false when it is not newer than the last
/// one.
///
/// Members missing from the list become unlisted; those that have not announced
/// themselves are removed. An address that a daemon has announced is kept.
bool ApplyVmList(Roster& roster,
                 uint64_t list_version,
                 const std::vector<Member>& listed);

/// @brief Applies the announcement of a daemon; returns whether its entry
/// changed.
bool ApplyAnnouncement(Roster& roster, const Member& announced);

/// @brief Removes a member that is not listed, for instance after its link has
/// closed; keeps a listed one.
void RemoveUnlisted(Roster& roster, const std::string& name);

/// @brief Returns the sorted names of the listed members.
[[nodiscard]] std::vector<std::string> ListedNames(const Roster& roster);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_ROSTER_H_
