#include "base/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace clementinerill {

void FailInvariant(const char* expression,
                   const char* file,
                   int line) noexcept {
  std::fprintf(stderr, "invariant: broken at %s:%d: %s\n", file, line,
               expression);
  std::abort();
}

}  // namespace clementinerill
