#ifndef CLEMENTINERILL_TESTS_CONTROL_CONTROL_FIXTURE_H_
#define CLEMENTINERILL_TESTS_CONTROL_CONTROL_FIXTURE_H_

#include <string>
#include <utility>

#include "control/control.h"

namespace clementinerill {

inline ConfigurationState MakeState(std::string daemon, int group_size = 1) {
  ConfigurationState state;
  state.daemon_ = std::move(daemon);
  state.group_size_ = group_size;
  return state;
}

inline Candidate MakeTestCandidate(
    uint64_t version,
    ConfigurationSource source = ConfigurationSource::kStore,
    const std::string& change_id = "c") {
  Configuration configuration;
  configuration.change_id_ = change_id + std::to_string(version);
  return MakeCandidate(source, "", version, std::move(configuration));
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_TESTS_CONTROL_CONTROL_FIXTURE_H_
