#ifndef CLEMENTINERILL_PEER_ADVISORIES_H_
#define CLEMENTINERILL_PEER_ADVISORIES_H_

#include <vector>

#include "membership/advisory.h"

namespace clementinerill {

/// @brief Advisories that the sender has raised or that the receiver lacks.
struct Advisories {
  std::vector<Advisory> entries_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_ADVISORIES_H_
