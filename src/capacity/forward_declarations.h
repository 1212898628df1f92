#ifndef CLEMENTINERILL_CAPACITY_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_CAPACITY_FORWARD_DECLARATIONS_H_

namespace clementinerill::capacity {

struct Estimate;
struct FleetEstimates;
struct Observation;
struct Report;
struct SharedEstimate;

}  // namespace clementinerill::capacity

#endif  // CLEMENTINERILL_CAPACITY_FORWARD_DECLARATIONS_H_
