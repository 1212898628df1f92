#ifndef CLEMENTINERILL_BASE_INVARIANT_H_
#define CLEMENTINERILL_BASE_INVARIANT_H_

namespace clementinerill {

/// @brief Reports a violated invariant on standard error and aborts.
[[noreturn]] void FailInvariant(const char* expression,
                                const char* file,
                                int line) noexcept;

}  // namespace clementinerill

/// @brief Aborts the process if `condition` is false, in every build type.
///
/// Only for conditions that no input and no external failure can violate.
#define CR_INVARIANT(condition)                                        \
  do {                                                                 \
    if (!(condition)) {                                                \
      ::clementinerill::FailInvariant(#condition, __FILE__, __LINE__); \
    }                                                                  \
  } while (false)

#endif  // CLEMENTINERILL_BASE_INVARIANT_H_
