#ifndef CLEMENTINERILL_BASE_INVARIANT_H_
#define CLEMENTINERILL_BASE_INVARIANT_H_

namespace clementinerill {

/// @brief Reports a broken invariant on standard error and aborts.
[[noreturn]] void FailInvariant(const char* expression,
                                const char* file,
                                int line) noexcept;

}  // namespace clementinerill

/// @brief Stops the process when `condition` is false, in every build type.
///
/// Only for states that no input and no failure outside can cause.
#define CR_INVARIANT(condition)                                        \
  do {                                                                 \
    if (!(condition)) {                                                \
      ::clementinerill::FailInvariant(#condition, __FILE__, __LINE__); \
    }                                                                  \
  } while (false)

#endif  // CLEMENTINERILL_BASE_INVARIANT_H_
