#ifndef CLEMENTINERILL_PEER_LINK_TABLE_H_
#define CLEMENTINERILL_PEER_LINK_TABLE_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "peer/peer_link.h"

namespace clementinerill {

/// @brief Ready links, keyed by peer name. Thread-safe.
///
/// Two daemons that dial each other at the same time get two links. Both are
/// kept; to preserve message order, each side sends on the link that became
/// ready first, until that link is demoted.
class LinkTable {
 public:
  /// Returns whether this is the peer's only link.
  bool Add(const std::string& name, std::shared_ptr<PeerLink> link);
  /// Returns whether this was the peer's last link.
  bool Remove(const std::string& name, const PeerLink* link);
  /// Moves the link behind the peer's other links if it is the preferred one.
  void Demote(const std::string& name, const PeerLink* link);
  void Clear();

  /// Returns the preferred link to the peer, or null.
  [[nodiscard]] std::shared_ptr<PeerLink> Find(const std::string& name) const;
  /// Returns all links to the peer, the preferred one first.
  [[nodiscard]] std::vector<std::shared_ptr<PeerLink>> FindAll(
      const std::string& name) const;
  [[nodiscard]] std::vector<std::string> Names() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<std::shared_ptr<PeerLink>>> links_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_LINK_TABLE_H_
