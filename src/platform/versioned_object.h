#ifndef CLEMENTINERILL_PLATFORM_VERSIONED_OBJECT_H_
#define CLEMENTINERILL_PLATFORM_VERSIONED_OBJECT_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief An object's value and the version that the store assigned to it.
struct VersionedObject {
  uint64_t version_ = 0;
  std::string value_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_VERSIONED_OBJECT_H_
