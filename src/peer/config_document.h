#ifndef CLEMENTINERILL_PEER_CONFIG_DOCUMENT_H_
#define CLEMENTINERILL_PEER_CONFIG_DOCUMENT_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief An accepted configuration as read from the store.
struct ConfigDocument {
  uint64_t version_ = 0;
  std::string text_;  ///< JSON, as for `ParseConfiguration`.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_CONFIG_DOCUMENT_H_
