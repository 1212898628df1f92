#ifndef CLEMENTINERILL_TESTS_DUTY_DUTY_MODEL_H_
#define CLEMENTINERILL_TESTS_DUTY_DUTY_MODEL_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "duty/duty.h"

namespace clementinerill::duty {

/// A model of three daemons, the store and the API, in which each step is one
/// of all that may happen next. The daemons run the code of the library.
///
/// One tick is the unit of time; a lease has three, the time-out of a call has
/// one, and there is no margin, which only adds room. A daemon that takes no
/// step while the time passes is frozen. The wall clock is no part of the
/// model: no function of the library takes it.
struct ModelBounds {
  int daemons_ = 0;   ///< That take steps.
  int ticks_ = 0;     ///< Time that passes.
  int faults_ = 0;    ///< Writes without a response, applied late or never.
  int restores_ = 0;  ///< Returns of the store from an older copy.
  int restarts_ = 0;  ///< Of daemons.
};

/// Changes of the behaviour of the daemons, with which the rules must not hold.
struct Mutation {
  std::function<void(State&, Action&)> after_action_;
  std::function<void(State&, BootInstant now)> after_write_;
};

struct ModelResult {
  size_t states_ = 0;
  int depth_ = 0;          ///< Steps of the longest of the shortest ways.
  size_t takeovers_ = 0;   ///< States after a change of the holder.
  std::string violation_;  ///< Empty if there is none.
  std::vector<std::string> trace_;  ///< The shortest one that leads to it.
};

/// Visits all states within the bounds, from one in which the first daemon
/// holds the duty and the others have not read the object yet.
[[nodiscard]] ModelResult CheckModel(const ModelBounds& bounds,
                                     const Mutation& mutation = {});

/// Takes `walks` random ways from that state until no time is left. They go
/// deeper than all states can be visited; `trace_` is not the shortest one.
[[nodiscard]] ModelResult WalkModel(const ModelBounds& bounds,
                                    int walks,
                                    const Mutation& mutation = {});

}  // namespace clementinerill::duty

#endif  // CLEMENTINERILL_TESTS_DUTY_DUTY_MODEL_H_
