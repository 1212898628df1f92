#ifndef CLEMENTINERILL_CONFIG_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_CONFIG_FORWARD_DECLARATIONS_H_

namespace clementinerill {

class JsonReader;
struct Configuration;
struct FailureDomain;
struct Pool;
struct Route;
struct Selector;
struct Service;
struct Upstream;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_FORWARD_DECLARATIONS_H_
