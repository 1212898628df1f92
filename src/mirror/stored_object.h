#ifndef CLEMENTINERILL_MIRROR_STORED_OBJECT_H_
#define CLEMENTINERILL_MIRROR_STORED_OBJECT_H_

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace clementinerill::mirror {

/// @brief One object of the store.
struct StoredObject {
  std::string name_;
  nlohmann::json content_;
  nlohmann::json status_ = {};  ///< Null if the system has not written one.
  /// Revision of its last change, for conditional writes.
  int64_t revision_ = 0;
  /// Why content and status could not be decoded, which are null then; empty if
  /// they were.
  std::string decode_error_ = {};
  /// Revision at which it was created; 0 if unknown. Tells an object from an
  /// earlier one of the same name.
  int64_t created_ = 0;
};

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_STORED_OBJECT_H_
