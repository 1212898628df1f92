#ifndef CLEMENTINERILL_MIRROR_STORED_OBJECT_H_
#define CLEMENTINERILL_MIRROR_STORED_OBJECT_H_

#include <string>

#include <nlohmann/json.hpp>

namespace clementinerill::mirror {

/// @brief One object of the store.
struct StoredObject {
  std::string name_;
  nlohmann::json content_;
};

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_STORED_OBJECT_H_
