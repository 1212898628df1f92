#ifndef CLEMENTINERILL_FAKES_PLATFORM_STORED_OBJECT_H_
#define CLEMENTINERILL_FAKES_PLATFORM_STORED_OBJECT_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief A value in the fake object store and its version.
struct StoredObject {
  uint64_t version_ = 0;
  std::string value_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_STORED_OBJECT_H_
