#include "organisations/access.h"

#include <algorithm>

namespace clementinerill::organisations {
namespace {

bool KeepsAllKeys(const Organisation& before, const Organisation& after) {
  return std::all_of(
      before.keys_.begin(), before.keys_.end(),
      [&after](const KeyDigest& key) { return after.keys_.count(key) > 0; });
}

bool IsStillValid(const Directory& newest,
                  const Directory* started_with,
                  const Credential& credential) {
  if (credential.key_) {
    const Organisation* owner = FindByKey(newest, *credential.key_);
    return owner && owner->name_ == credential.organisation_;
  }
  if (&newest == started_with) {
    return true;
  }
  const Organisation* before =
      started_with ? FindByName(*started_with, credential.organisation_)
                   : nullptr;
  const Organisation* after = FindByName(newest, credential.organisation_);
  return before && after && KeepsAllKeys(*before, *after);
}

}  // namespace

Access Decide(const Directory* directory,
              bool is_public,
              const PresentedKeys& keys,
              const ViewAge& view,
              BootInstant now) {
  if (!directory || is_public) {
    return {};
  }
  if (!IsRecent(view.proof_, view.max_age_, now)) {
    return {AccessRefusal::kViewTooOld, {}};
  }
  if (keys.count_ > 1) {
    return {AccessRefusal::kRepeatedKey, {}};
  }
  if (keys.first_.empty()) {
    return {AccessRefusal::kNoKey, {}};
  }
  const KeyDigest digest = DigestOf(keys.first_, directory->secret_);
  const Organisation* organisation = FindByKey(*directory, digest);
  if (!organisation) {
    return {AccessRefusal::kUnknownKey, {}};
  }
  return {std::nullopt, {organisation->name_, digest}};
}

std::optional<ForwardRefusal> DecideForwarded(const Directory* directory,
                                              bool is_public,
                                              std::string_view organisation,
                                              const ViewAge& view,
                                              BootInstant now) noexcept {
  if (!directory || is_public) {
    return organisation.empty()
               ? std::nullopt
               : std::make_optional(ForwardRefusal::kUnknownOrganisation);
  }
  if (organisation.empty()) {
    return ForwardRefusal::kNoOrganisation;
  }
  if (!FindByName(*directory, organisation)) {
    return ForwardRefusal::kUnknownOrganisation;
  }
  if (!IsRecent(view.proof_, view.max_age_, now)) {
    return ForwardRefusal::kViewTooOld;
  }
  return std::nullopt;
}

std::optional<AccessRefusal> Recheck(const Directory* newest,
                                     const Directory* started_with,
                                     bool is_public,
                                     const Credential& credential,
                                     const ViewAge& view,
                                     BootInstant now) noexcept {
  if (!newest || is_public) {
    return std::nullopt;
  }
  if (!IsRecent(view.proof_, view.max_age_, now)) {
    return AccessRefusal::kViewTooOld;
  }
  if (credential.organisation_.empty()) {
    return AccessRefusal::kNoKey;
  }
  if (!IsStillValid(*newest, started_with, credential)) {
    return AccessRefusal::kUnknownKey;
  }
  return std::nullopt;
}

}  // namespace clementinerill::organisations
