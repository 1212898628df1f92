#include "membership/roster.h"

#include <set>

namespace clementinerill {
namespace {

void RemoveMissing(Roster& roster, const std::set<std::string>& names) {
  for (auto it = roster.members_.begin(); it != roster.members_.end();) {
    Member& member = it->second;
    if (names.count(member.name_) == 0) {
      member.listed_ = false;
    }
    const bool known = member.listed_ || member.incarnation_ != 0;
    it = known ? std::next(it) : roster.members_.erase(it);
  }
}

}  // namespace

bool ApplyVmList(Roster& roster,
                 uint64_t list_version,
                 const std::vector<Member>& listed) {
  if (list_version <= roster.list_version_) {
    return false;
  }
  roster.list_version_ = list_version;
  std::set<std::string> names;
  for (const Member& entry : listed) {
    names.insert(entry.name_);
    Member& member = roster.members_[entry.name_];
    if (member.incarnation_ == 0) {
      member = entry;
    }
    member.listed_ = true;
    member.leaving_ = member.leaving_ || entry.leaving_;
  }
  RemoveMissing(roster, names);
  return true;
}

bool ApplyAnnouncement(Roster& roster, const Member& announced) {
  Member& member = roster.members_[announced.name_];
  const bool same = member.incarnation_ == announced.incarnation_ &&
                    member.address_ == announced.address_ &&
                    member.port_ == announced.port_ &&
                    member.leaving_ == announced.leaving_;
  if (same) {
    return false;
  }
  const bool listed = member.listed_;
  member = announced;
  member.listed_ = listed;
  return true;
}

void RemoveUnlisted(Roster& roster, const std::string& name) {
  const auto it = roster.members_.find(name);
  if (it != roster.members_.end() && !it->second.listed_) {
    roster.members_.erase(it);
  }
}

std::vector<std::string> ListedNames(const Roster& roster) {
  std::vector<std::string> names;
  for (const auto& [name, member] : roster.members_) {
    if (member.listed_) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace clementinerill
