#ifndef CLEMENTINERILL_PEER_LINK_TABLE_H_
#define CLEMENTINERILL_PEER_LINK_TABLE_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "peer/peer_link.h"

namespace clementinerill {

/// @brief The ready links by name of the peer; usable from any thread.
///
/// Two daemons that dial each other at the same time get two links. Both stay;
/// each side sends on the one that was ready first, so that messages keep
/// their order, until that one is demoted.
class LinkTable {
 public:
  /// Returns whether this is the peer's only link.
  bool Add(const std::string& name, std::shared_ptr<PeerLink> link);
  /// Returns whether this was the peer's last link.
  bool Remove(const std::string& name, const PeerLink* link);
  /// Prefers the peer's other links, if there are any.
  void Demote(const std::string& name, const PeerLink* link);
  void Clear();

  /// The link to send on, or null.
  [[nodiscard]] std::shared_ptr<PeerLink> Find(const std::string& name) const;
  /// All links of a peer, the preferred one first.
  [[nodiscard]] std::vector<std::shared_ptr<PeerLink>> FindAll(
      const std::string& name) const;
  [[nodiscard]] std::vector<std::string> Names() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<std::shared_ptr<PeerLink>>> links_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_LINK_TABLE_H_
