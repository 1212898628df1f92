#ifndef CLEMENTINERILL_ORGANISATIONS_DIRECTORY_H_
#define CLEMENTINERILL_ORGANISATIONS_DIRECTORY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/result.h"
#include "organisations/key_digest.h"

namespace clementinerill::organisations {

/// @brief One organisation whose requests are accepted.
struct Organisation {
  std::string name_;
  int priority_ = 0;  ///< 0 is the highest priority.
  /// Digests of its keys, with the secret of the directory.
  std::unordered_set<KeyDigest, KeyDigestHash> keys_;
};

/// @brief The organisations of one version of the configuration. Holds digests
/// of the keys in place of the keys.
struct Directory {
  DigestSecret secret_{};
  std::vector<Organisation> organisations_;  ///< In the order given.
  /// Indices into `organisations_`.
  std::unordered_map<KeyDigest, size_t, KeyDigestHash> by_key_;
  std::map<std::string, size_t, std::less<>> by_name_;
};

/// @brief Adds an organisation with its keys.
///
/// Errors: a name that is empty, repeated or not valid as the value of a
/// header; a key that is empty, not valid in a header or given before. They
/// name the index of the key and of the organisation, never a key. After an
/// error the directory must not be used.
[[nodiscard]] Result<void> AddOrganisation(
    Directory& directory,
    std::string name,
    int priority,
    const std::vector<std::string>& keys);

/// @brief Returns the organisation that has the key, or null.
[[nodiscard]] const Organisation* FindByKey(const Directory& directory,
                                            const KeyDigest& key) noexcept;

/// @brief Returns the organisation with the name, or null.
[[nodiscard]] const Organisation* FindByName(const Directory& directory,
                                             std::string_view name) noexcept;

}  // namespace clementinerill::organisations

#endif  // CLEMENTINERILL_ORGANISATIONS_DIRECTORY_H_
