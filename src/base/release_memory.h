#ifndef CLEMENTINERILL_BASE_RELEASE_MEMORY_H_
#define CLEMENTINERILL_BASE_RELEASE_MEMORY_H_

#include <string>

namespace clementinerill {

/// @brief Empties a string and frees its memory.
///
/// `clear()` and the assignment of an empty string keep the memory for later
/// use, which an idle connection does not need.
inline void ReleaseMemory(std::string& text) noexcept {
  std::string().swap(text);
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_RELEASE_MEMORY_H_
