#include "organisations/key_digest.h"

#include <xxhash.h>

namespace clementinerill::organisations {

static_assert(sizeof(DigestSecret) >= XXH3_SECRET_SIZE_MIN);

KeyDigest DigestOf(std::string_view key, const DigestSecret& secret) noexcept {
  const XXH128_hash_t hash = XXH3_128bits_withSecret(
      key.data(), key.size(), secret.data(), secret.size());
  return {hash.low64, hash.high64};
}

}  // namespace clementinerill::organisations
