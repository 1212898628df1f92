#ifndef CLEMENTINERILL_ORGANISATIONS_ACCESS_H_
#define CLEMENTINERILL_ORGANISATIONS_ACCESS_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/boot_instant.h"
#include "base/name_table.h"
#include "base/time.h"
#include "organisations/directory.h"
#include "organisations/view_proof.h"

namespace clementinerill::organisations {

/// @brief Why a request may not run.
enum class AccessRefusal {
  kNoKey,        ///< It has no key, or an empty one.
  kRepeatedKey,  ///< It has more than one key.
  kUnknownKey,   ///< No organisation has the key.
  kViewTooOld,   ///< Keys may have been removed that this daemon still knows.
};

inline constexpr std::array<NameEntry<AccessRefusal>, 4> kAccessRefusalNames = {
    {
        {AccessRefusal::kNoKey, "no_key"},
        {AccessRefusal::kRepeatedKey, "repeated_key"},
        {AccessRefusal::kUnknownKey, "unknown_key"},
        {AccessRefusal::kViewTooOld, "view_too_old"},
    }};

/// @brief Returns the status of the response.
[[nodiscard]] constexpr int StatusOf(AccessRefusal refusal) noexcept {
  return refusal == AccessRefusal::kViewTooOld ? 503 : 401;
}

/// @brief The key fields of a request.
struct PresentedKeys {
  size_t count_ = 0;
  std::string_view first_;  ///< Value of the first field.
};

/// @brief Why a request that another daemon accepted may not run here.
enum class ForwardRefusal {
  kNoOrganisation,       ///< It names none, but its route needs one.
  kUnknownOrganisation,  ///< It names one that is not known or not needed.
  kViewTooOld,           ///< See `AccessRefusal`.
};

inline constexpr std::array<NameEntry<ForwardRefusal>, 3> kForwardRefusalNames =
    {{
        {ForwardRefusal::kNoOrganisation, "no_organisation"},
        {ForwardRefusal::kUnknownOrganisation, "unknown_organisation"},
        {ForwardRefusal::kViewTooOld, "view_too_old"},
    }};

/// @brief How recent the configuration must be, and how recent it is.
struct ViewAge {
  ViewProof proof_;
  std::optional<Duration> max_age_;  ///< Unset if no proof is required.
};

/// @brief On whose behalf a request runs. Empty while there are no
/// organisations and on public routes.
struct Credential {
  std::string organisation_;  ///< Name of the organisation.
  /// Digest of the key; unset if another daemon checked it.
  std::optional<KeyDigest> key_;
};

/// @brief The decision about a request.
struct Access {
  std::optional<AccessRefusal> refusal_;
  Credential credential_;  ///< If not refused.
};

/// @brief Decides about a request of a caller. `directory` is null if there are
/// no organisations.
[[nodiscard]] Access Decide(const Directory* directory,
                            bool is_public,
                            const PresentedKeys& keys,
                            const ViewAge& view,
                            BootInstant now);

/// @brief Decides about a request that another daemon accepted on behalf of the
/// named organisation, or of none if the name is empty.
[[nodiscard]] std::optional<ForwardRefusal> DecideForwarded(
    const Directory* directory,
    bool is_public,
    std::string_view organisation,
    const ViewAge& view,
    BootInstant now) noexcept;

/// @brief Decides again before a request leaves for a replica or another
/// daemon.
///
/// `newest` is the directory in force, `started_with` the one with which the
/// request was accepted. A request that another daemon accepted names no key:
/// it may run only while the organisation has all the keys that it had then.
[[nodiscard]] std::optional<AccessRefusal> Recheck(
    const Directory* newest,
    const Directory* started_with,
    bool is_public,
    const Credential& credential,
    const ViewAge& view,
    BootInstant now) noexcept;

}  // namespace clementinerill::organisations

#endif  // CLEMENTINERILL_ORGANISATIONS_ACCESS_H_
