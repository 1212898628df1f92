#ifndef CLEMENTINERILL_DUTY_CANDIDATES_H_
#define CLEMENTINERILL_DUTY_CANDIDATES_H_

#include <optional>
#include <string>
#include <vector>

namespace clementinerill::duty {

/// @brief A registered daemon.
struct Daemon {
  std::string name_;
  std::string failure_domain_;
};

/// @brief Returns the names of the daemons that may hold the duty, best first:
/// three, or all if there are fewer.
///
/// The order is that of rendezvous hashing. They are of at least two failure
/// domains if the daemons are, so that one of them is outside that of the
/// holder.
[[nodiscard]] std::vector<std::string> Candidates(
    const std::string& duty,
    const std::vector<Daemon>& daemons);

/// @brief Returns the position of `daemon` among them, from 0; unset if it is
/// not one of them.
[[nodiscard]] std::optional<int> CandidateRank(
    const std::string& duty,
    const std::string& daemon,
    const std::vector<Daemon>& daemons);

}  // namespace clementinerill::duty

#endif  // CLEMENTINERILL_DUTY_CANDIDATES_H_
