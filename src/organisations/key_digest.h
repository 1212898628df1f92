#ifndef CLEMENTINERILL_ORGANISATIONS_KEY_DIGEST_H_
#define CLEMENTINERILL_ORGANISATIONS_KEY_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace clementinerill::organisations {

/// @brief Secret of the digests of one process. It is random, so that nobody
/// outside can compute keys whose digests are related.
using DigestSecret = std::array<unsigned char, 192>;

/// @brief Keyed 128-bit digest of an API key. Only digests with the same secret
/// are comparable.
struct KeyDigest {
  uint64_t low_ = 0;
  uint64_t high_ = 0;

  /// Compares all bits without early exit, so that the duration does not show
  /// how many of them are equal.
  friend bool operator==(const KeyDigest& a, const KeyDigest& b) noexcept {
    return ((a.low_ ^ b.low_) | (a.high_ ^ b.high_)) == 0;
  }
};

/// @brief Hash of a digest, which is evenly distributed by itself.
struct KeyDigestHash {
  [[nodiscard]] size_t operator()(const KeyDigest& digest) const noexcept {
    return static_cast<size_t>(digest.low_);
  }
};

/// @brief Returns the digest of `key`.
[[nodiscard]] KeyDigest DigestOf(std::string_view key,
                                 const DigestSecret& secret) noexcept;

}  // namespace clementinerill::organisations

#endif  // CLEMENTINERILL_ORGANISATIONS_KEY_DIGEST_H_
