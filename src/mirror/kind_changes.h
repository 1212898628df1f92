#ifndef CLEMENTINERILL_MIRROR_KIND_CHANGES_H_
#define CLEMENTINERILL_MIRROR_KIND_CHANGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "mirror/stored_object.h"

namespace clementinerill::mirror {

/// @brief What is new in the objects of one kind.
struct KindChanges {
  int64_t revision_ = 0;  ///< Of the store; these changes lead up to it.
  /// `upserted_` holds all objects, and others do not exist.
  bool is_full_list_ = false;
  std::vector<StoredObject> upserted_;  ///< New or changed.
  std::vector<std::string> removed_;    ///< Names; empty when complete.
};

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_KIND_CHANGES_H_
