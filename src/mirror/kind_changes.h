#ifndef CLEMENTINERILL_MIRROR_KIND_CHANGES_H_
#define CLEMENTINERILL_MIRROR_KIND_CHANGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "mirror/stored_object.h"

namespace clementinerill::mirror {

/// @brief Changes of the objects of one kind, or a full list of them.
struct KindChanges {
  int64_t revision_ = 0;  ///< Store revision after these changes.
  /// Whether `upserted_` lists all objects, so that no others exist.
  bool is_full_list_ = false;
  std::vector<StoredObject> upserted_;  ///< New or changed objects.
  std::vector<std::string> removed_;    ///< Names; empty for a full list.
  int64_t era_ = 0;  ///< Era of `revision_`; see `KindMirror::era_`.
};

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_KIND_CHANGES_H_
