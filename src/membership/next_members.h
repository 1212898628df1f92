#ifndef CLEMENTINERILL_MEMBERSHIP_NEXT_MEMBERS_H_
#define CLEMENTINERILL_MEMBERSHIP_NEXT_MEMBERS_H_

#include <string>
#include <vector>

namespace clementinerill {

/// @brief Returns the members after at most one change from `current` towards
/// `wanted`; one change adds or removes a single member.
///
/// Removes the first member by name that is not in `wanted`, unless the group
/// is already smaller than `wanted`: otherwise replacing all members would
/// empty the group. When nothing is removed, adds the first name of `wanted`
/// that is missing. The result is sorted, and has the members of `current` when
/// no change remains. Changes must be at least `kMemberChangeInterval` apart
/// and satisfy `MayChangeMembers`.
///
/// Members change one at a time because any two majorities of groups that
/// differ by one member have a witness in common, and a witness grants a seat
/// to one holder only. Majorities of groups that differ by two members need not
/// intersect: {a, b} of {a, b, c} and {d, e} of {c, d, e}.
///
/// All daemons must apply the same sequence of changes, so a single source has
/// to order them: the groups of daemons that move towards different lists may
/// differ by two members. Members exchange heartbeats with those that are one
/// change behind. A daemon two changes behind is neither in the group of the
/// others nor in their previous one; it has no majority and serves nothing
/// until it has caught up.
[[nodiscard]] std::vector<std::string> NextMembers(
    std::vector<std::string> current,
    std::vector<std::string> wanted);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_NEXT_MEMBERS_H_
