#ifndef CLEMENTINERILL_MEMBERSHIP_NEXT_MEMBERS_H_
#define CLEMENTINERILL_MEMBERSHIP_NEXT_MEMBERS_H_

#include <string>
#include <vector>

namespace clementinerill {

/// @brief The members after at most one step from `current` to `wanted`.
///
/// Removes the first member by name that is not wanted, unless the group is
/// already smaller than `wanted`: replacing all members would empty it.
/// Otherwise adds the first wanted name that is missing. The result is sorted,
/// and equals `current` when nothing remains to be done. Steps must be at least
/// `kMemberChangeInterval` apart and satisfy `MayChangeMembers`.
///
/// One step at a time because any majorities of two groups that differ by one
/// member have a witness in common, and that witness supports one holder of a
/// seat only. Majorities of groups that differ by two need not intersect:
/// {a, b} of {a, b, c} and {d, e} of {c, d, e}.
///
/// All daemons must follow the same sequence of steps, so one source has to
/// order them: two daemons that step towards different lists may be two apart.
/// Members exchange heartbeats with those one step behind. A daemon that lags
/// two steps behind belongs to neither the group nor the previous one of the
/// others; it has no majority and serves nothing until it catches up.
[[nodiscard]] std::vector<std::string> NextMembers(
    std::vector<std::string> current,
    std::vector<std::string> wanted);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_NEXT_MEMBERS_H_
