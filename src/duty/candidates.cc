#include "duty/candidates.h"

#include <algorithm>
#include <map>

#include "base/rendezvous.h"

namespace clementinerill::duty {
namespace {

constexpr size_t kCandidates = 3;

}  // namespace

std::vector<std::string> Candidates(const std::string& duty,
                                    const std::vector<Daemon>& daemons) {
  std::map<std::string, std::string> domains;
  std::vector<std::string> names;
  for (const Daemon& daemon : daemons) {
    domains[daemon.name_] = daemon.failure_domain_;
    names.push_back(daemon.name_);
  }
  std::vector<std::string> ranked = RankByRendezvous(duty, std::move(names));
  if (ranked.size() <= kCandidates) {
    return ranked;
  }
  const auto is_elsewhere = [&](const std::string& name) {
    return domains[name] != domains[ranked.front()];
  };
  const auto elsewhere =
      std::find_if(ranked.begin(), ranked.end(), is_elsewhere);
  const auto last = ranked.begin() + kCandidates - 1;
  if (elsewhere != ranked.end() && elsewhere > last) {
    std::iter_swap(elsewhere, last);
  }
  ranked.resize(kCandidates);
  return ranked;
}

std::optional<int> CandidateRank(const std::string& duty,
                                 const std::string& daemon,
                                 const std::vector<Daemon>& daemons) {
  const std::vector<std::string> candidates = Candidates(duty, daemons);
  const auto found = std::find(candidates.begin(), candidates.end(), daemon);
  if (found == candidates.end()) {
    return std::nullopt;
  }
  return static_cast<int>(found - candidates.begin());
}

}  // namespace clementinerill::duty
