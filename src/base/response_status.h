#ifndef CLEMENTINERILL_BASE_RESPONSE_STATUS_H_
#define CLEMENTINERILL_BASE_RESPONSE_STATUS_H_

namespace clementinerill {

/// @brief Whether a response to one of our requests can have this status, RFC
/// 9110 section 15.
///
/// The first digit is 1 to 5. 101 answers a request to switch protocols, which
/// is never sent to replicas, daemons or the store.
[[nodiscard]] constexpr bool IsPossibleStatus(int status) noexcept {
  return status >= 100 && status < 600 && status != 101;
}

/// @brief Whether the final response follows one with this status.
[[nodiscard]] constexpr bool IsInterimStatus(int status) noexcept {
  return status >= 100 && status < 200;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_RESPONSE_STATUS_H_
