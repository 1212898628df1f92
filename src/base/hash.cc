#include "base/hash.h"

#include <xxhash.h>

namespace clementinerill {

uint64_t Hash64(std::string_view text, uint64_t seed) noexcept {
  return XXH64(text.data(), text.size(), seed);
}

}  // namespace clementinerill
