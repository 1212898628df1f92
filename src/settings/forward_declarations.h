#ifndef CLEMENTINERILL_SETTINGS_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_SETTINGS_FORWARD_DECLARATIONS_H_

namespace clementinerill {

class Secret;
class YamlReader;
struct Endpoint;
struct Settings;
struct StaticPeer;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_FORWARD_DECLARATIONS_H_
