#ifndef CLEMENTINERILL_GATEWAY_FOLLOWED_KIND_H_
#define CLEMENTINERILL_GATEWAY_FOLLOWED_KIND_H_

#include <memory>

#include "gateway/kind_watch.h"
#include "mirror/kind_mirror.h"

namespace clementinerill::gateway {

/// @brief This daemon's copy of one kind and the watch that updates it.
struct FollowedKind {
  mirror::KindMirror mirror_;
  std::unique_ptr<KindWatch> watch_;
  bool must_be_fresh_ = true;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_FOLLOWED_KIND_H_
