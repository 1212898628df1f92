#ifndef CLEMENTINERILL_FAKES_PLATFORM_PUT_RESULT_H_
#define CLEMENTINERILL_FAKES_PLATFORM_PUT_RESULT_H_

#include <cstdint>

namespace clementinerill {

/// @brief Result of a conditional write to the fake object store.
struct PutResult {
  bool accepted_ = false;
  uint64_t version_ = 0;  ///< The current version; 0 if there is no object.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_PUT_RESULT_H_
